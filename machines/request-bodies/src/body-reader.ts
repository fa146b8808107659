import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {
  MAX_SMALL_BYTES,
  ReturnSchedule,
  type MemoryBudget,
  type Reservation,
} from '@marigoldspur/memory-budget';
import {PieceList} from './piece-list.js';
import {holdBody, type RequestBody} from './request-body.js';

/**
 * Why a body was not read: larger than its limit, ended early, refused for lack of memory, or
 * given up in favour of others because its sender had stalled.
 */
export interface BodyFailure {
  readonly code: 'TOO_LARGE' | 'TORN' | 'FULL' | 'STALLED';
  readonly message: string;
  /** Seconds after which the sender should come back, if it was refused for lack of memory. */
  readonly retryAfterSeconds?: number;
}

/** Options of a body reader. */
export interface BodyReaderOptions {
  readonly budget: MemoryBudget;
  /** Kind of the reservations. */
  readonly kind: string;
}

/** A request whose body is to be read. */
export interface BodyRequest {
  readonly request: IncomingMessage;
  /** Maximum size of the body, in bytes. */
  readonly maxBytes: number;
  /** Aborts the read, which then ends as torn. */
  readonly signal?: AbortSignal;
}

/** A body that is arriving. */
interface ArrivingBody {
  readonly reservation: Reservation;
  /** Number of checks since its last bytes arrived. */
  quietChecks: number;
  readonly fail: (failure: BodyFailure) => void;
}

const STALL_CHECK_INTERVAL_MS = 500;
/**
 * Number of checks without a byte after which a body gives way to others. After this process was
 * held up, one check comes before the bytes that waited.
 */
const STALLED_CHECKS = 3;

/** Reads the bodies of requests; all of them together stay within a memory budget. */
export class BodyReader {
  private readonly arriving = new Set<ArrivingBody>();
  private readonly returns = new ReturnSchedule();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: BodyReaderOptions) {}

  /** Reads a body; one that cannot be held is refused at once. */
  read(target: BodyRequest): Promise<Result<RequestBody, BodyFailure>> {
    const {maxBytes, request} = target;
    const stated = Number(request.headers['content-length'] ?? 0);
    if (stated > maxBytes) {
      return Promise.resolve(Result.err(tooLarge(maxBytes)));
    }
    const reservation = this.reserve(stated);
    return reservation === undefined
      ? Promise.resolve(Result.err(this.full(stated)))
      : this.collect(target, reservation);
  }

  /** Counts for each arriving body that another interval has passed. */
  checkStalled(): void {
    this.arriving.forEach(body => (body.quietChecks += 1));
    if (this.arriving.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }

  private collect(
    {maxBytes, request, signal}: BodyRequest,
    reservation: Reservation,
  ): Promise<Result<RequestBody, BodyFailure>> {
    const length = request.headers['content-length'];
    const pieces = new PieceList(
      length === undefined ? undefined : Number(length),
    );
    const isStated = reservation.bytes > 0;
    return new Promise(resolve => {
      const end = (result: Result<RequestBody, BodyFailure>) => {
        this.arriving.delete(body);
        signal?.removeEventListener('abort', onTorn);
        request.off('data', onData);
        resolve(result);
      };
      const fail = (failure: BodyFailure) => {
        reservation.release();
        end(Result.err(failure));
      };
      const body = {reservation, quietChecks: 0, fail};
      const onTorn = () => {
        if (this.arriving.has(body)) {
          fail({
            code: 'TORN',
            message: 'the body ended before it was complete',
          });
        }
      };
      const onData = (piece: Buffer) => {
        body.quietChecks = 0;
        pieces.add(piece);
        if (pieces.byteLength > maxBytes) {
          fail(tooLarge(maxBytes));
        } else if (
          pieces.allocatedBytes > reservation.bytes &&
          !this.grow(
            reservation,
            pieces.allocatedBytes,
            isStated ? 0 : maxBytes,
          )
        ) {
          fail(this.full(pieces.byteLength));
        }
      };
      this.add(body);
      signal?.addEventListener('abort', onTorn);
      request.on('data', onData);
      request.on('error', onTorn);
      request.on('close', onTorn);
      request.on('end', () => {
        if (!request.complete || !this.arriving.has(body)) {
          onTorn();
          return;
        }
        const complete = pieces.finish();
        reservation.resize(pieces.allocatedBytes);
        end(
          Result.ok(
            holdBody(complete, pieces.byteLength, () => reservation.release()),
          ),
        );
      });
      if (signal?.aborted === true || request.destroyed) {
        onTorn();
      }
    });
  }

  private add(body: ArrivingBody): void {
    this.arriving.add(body);
    this.timer ??= setInterval(
      () => this.checkStalled(),
      STALL_CHECK_INTERVAL_MS,
    ).unref();
  }

  private reserve(bytes: number): Reservation | undefined {
    const {budget, kind} = this.options;
    return (
      budget.reserve(kind, bytes) ??
      (this.giveUpStalled(bytes, bytes)
        ? budget.reserve(kind, bytes)
        : undefined)
    );
  }

  /**
   * Grows the reservation of a body to `bytes`. One that states no length and is not small any
   * more gets what the largest one takes, so that it is refused early or not at all.
   */
  private grow(
    reservation: Reservation,
    bytes: number,
    maxBytes: number,
  ): boolean {
    const size = bytes > MAX_SMALL_BYTES ? Math.max(bytes, maxBytes) : bytes;
    return (
      reservation.resize(size) ||
      (this.giveUpStalled(size - reservation.bytes, size) &&
        reservation.resize(size))
    );
  }

  /**
   * Gives up stalled bodies so that a reservation of `size` can take `bytes` more; gives up none
   * if they do not hold enough. Whether there is room now.
   */
  private giveUpStalled(bytes: number, size: number): boolean {
    const missing = this.options.budget.missingBytes(bytes, size);
    const stalled = [...this.arriving].filter(
      ({quietChecks, reservation}) =>
        reservation.bytes > 0 && quietChecks >= STALLED_CHECKS,
    );
    const held = stalled.reduce((sum, body) => sum + body.reservation.bytes, 0);
    if (held < missing) {
      return false;
    }
    let freedBytes = 0;
    for (const body of stalled) {
      if (freedBytes >= missing) {
        break;
      }
      freedBytes += body.reservation.bytes;
      const quietMs = body.quietChecks * STALL_CHECK_INTERVAL_MS;
      body.fail({
        code: 'STALLED',
        message: `no byte of the body arrived for ${quietMs} ms while memory was short`,
      });
    }
    return true;
  }

  private full(bytes: number): BodyFailure {
    const {maxBytes} = this.options.budget.occupancy;
    const now = performance.now();
    return {
      code: 'FULL',
      message: `the process lacks the memory for a body of ${bytes} bytes`,
      retryAfterSeconds: this.returns.delaySeconds(bytes, maxBytes, now),
    };
  }
}

function tooLarge(maxBytes: number): BodyFailure {
  return {
    code: 'TOO_LARGE',
    message: `the body is larger than ${maxBytes} bytes`,
  };
}
