import type {Histogram} from 'hdr-histogram-js';
import {buildHistogram, findShare, recordMilliseconds} from '../log/metrics.js';

/** Routes of which answers are kept. */
const maxRoutes = 256;
/** The kernel takes this much of an answer at once, also of a new connection. */
const maxSmallBytes = 16 * 1024;

/** The answers of a route that were written out. */
interface RouteAnswers {
  readonly durations: Histogram;
  largestBytes: number;
}

/** Sizes and durations of the answers that were written out, by route. */
export class AnswersByRoute {
  private readonly routes = new Map<string, RouteAnswers>();

  /** Records an answer; the first routes are kept if there are too many. */
  record(route: string, bytes: number, milliseconds: number): void {
    let answers = this.routes.get(route);
    if (answers === undefined) {
      if (this.routes.size >= maxRoutes) return;
      answers = {durations: buildHistogram(), largestBytes: 0};
      this.routes.set(route, answers);
    }
    answers.largestBytes = Math.max(answers.largestBytes, bytes);
    recordMilliseconds(answers.durations, milliseconds);
  }

  /**
   * Tells whether a route has large answers; one of which few are known counts as
   * such.
   */
  isLarge(route: string): boolean {
    const answers = this.routes.get(route);
    if (answers === undefined) return true;
    if (findShare(answers.durations, 1) === undefined) return true;
    return answers.largestBytes > maxSmallBytes;
  }

  /**
   * Finds the milliseconds within which a share of a route's answers were written
   * out; undefined before enough were recorded.
   */
  findShare(route: string, share: number): number | undefined {
    const answers = this.routes.get(route);
    return answers === undefined
      ? undefined
      : findShare(answers.durations, share);
  }
}
