/**
 * Passes the bytes of a connection on to Node's parser in pieces of at most one request head, so that the parser stops
 * between two requests. Without it, the parser turns everything that it has read into request objects at once, and 64 KB
 * of short requests need some hundred times their size.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import {
  type ByteReservation,
  type Bytes,
  GARBAGE_METER,
  KIBIBYTE,
} from "#core";

const HEAD_END = Buffer.from("\r\n\r\n");
/** Largest piece that may contain the start of a request. */
const MAXIMUM_PIECE_BYTES: Bytes = 4 * KIBIBYTE;
/** Pieces after which other connections have their turn; each takes the parser some microseconds. */
const PIECES_PER_TURN = 64;
/**
 * Bytes after which a connection waits for the next turn of the event loop. Otherwise each one reads some megabytes at
 * once, which the garbage collector frees only between two turns.
 */
const BYTES_PER_TURN: Bytes = 128 * KIBIBYTE;

/** How much more a byte of a body in chunks counts: 16 KB of small chunks take the parser some milliseconds. */
const CHUNKED_WEIGHT = 8;

/** Counts the turns of the event loop in which a connection received bytes. */
class TurnCount {
  #turn = 0;
  #isScheduled = false;

  /** Returns the number of the current turn. */
  current(): number {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        this.#turn += 1;
      });
    }
    return this.#turn;
  }
}

const TURNS = new TurnCount();
/** A paused connection buffers about as much again as it holds back, before the system stops reading. */
const BUFFERED_RATIO = 2;

/** Options of `InputGate`. */
export interface InputGateOptions {
  /** Whether the connection may send another request now. */
  readonly mayContinue: () => boolean;
  /** Memory of input that is held back. */
  readonly reservation: ByteReservation;
  /** Heads in bytes that arrived together above which `onExcess` is called. */
  readonly maximumHeads: number;
  /** Called instead of passing further heads on, or of holding more input back than there is memory for. */
  readonly onExcess: () => void;
}

/** The input of one connection. */
export class InputGate {
  readonly #socket: Socket;
  readonly #options: InputGateOptions;
  readonly #parse: (bytes: Buffer) => void;
  #held: Buffer | undefined;
  /** The request whose head the parser has read last. */
  #request: IncomingMessage | undefined;
  /** Bytes of its body that are still to come, if their number is announced. */
  #bodyBytesLeft: Bytes = 0;
  #isClosed = false;
  #isWaiting = false;
  /** Heads passed on since bytes arrived last. */
  #heads = 0;
  #turn = -1;
  #turnPieces = 0;
  #turnBytes: Bytes = 0;

  /** Takes the place of the parser as the reader of a connection that Node's server has just accepted. */
  constructor(socket: Socket, options: InputGateOptions) {
    this.#socket = socket;
    this.#options = options;
    const [parse] = socket.listeners("data");
    if (parse === undefined) throw new Error("the connection has no parser");
    this.#parse = parse as (bytes: Buffer) => void;
    socket.off("data", this.#parse);
    socket.on("data", (bytes: Buffer) => this.#receive(bytes));
    socket.on("resume", () => this.#passOn());
    socket.on("drain", () => this.continue());
  }

  /** Bytes that the parser has not got yet. */
  get heldBytes(): Bytes {
    return this.#held?.length ?? 0;
  }

  /** Announces the body that follows the head which the parser has just read; 0 if its size is unknown. */
  expectBody(request: IncomingMessage, bytes: Bytes): void {
    this.#request = request;
    this.#bodyBytesLeft = bytes;
  }

  /** Reads on if the connection may. */
  continue(): void {
    if (!this.#isWaiting || this.#isClosed || !this.#mayParse()) return;
    this.#isWaiting = false;
    this.#socket.resume();
  }

  /** Drops all input from now on. */
  close(): void {
    this.#isClosed = true;
    this.#held = undefined;
    this.#options.reservation.release();
  }

  #receive(bytes: Buffer): void {
    GARBAGE_METER.collectIfDue();
    GARBAGE_METER.drop(bytes.length);
    this.#heads = 0;
    if (this.#isClosed) return;
    this.#held = this.#held === undefined
      ? bytes
      : Buffer.concat([this.#held, bytes]);
    this.#passOn();
  }

  #passOn(): void {
    while (this.#held !== undefined && !this.#socket.destroyed) {
      const isTurnOver = this.#isTurnOver();
      if (isTurnOver || !this.#mayParse()) {
        this.#wait(isTurnOver);
        return;
      }
      // The parser pauses the connection while nobody reads the body.
      if (this.#socket.isPaused()) {
        this.#reserveHeld();
        return;
      }
      if (this.#heads >= this.#options.maximumHeads && !this.#isInBody()) {
        this.#options.onExcess();
        return;
      }
      const weight = this.#isInChunks() ? CHUNKED_WEIGHT : 1;
      const piece = this.#nextPiece(this.#held);
      this.#turnPieces += 1;
      this.#turnBytes += piece.length * weight;
      this.#parse(piece);
    }
    if (this.#held === undefined) this.#options.reservation.release();
  }

  #reserveHeld(): void {
    const { reservation, onExcess } = this.#options;
    if (!reservation.extendTo(this.heldBytes * BUFFERED_RATIO)) onExcess();
  }

  #isTurnOver(): boolean {
    const turn = TURNS.current();
    if (turn !== this.#turn) {
      this.#turn = turn;
      this.#turnPieces = 0;
      this.#turnBytes = 0;
    }
    return this.#turnPieces >= PIECES_PER_TURN ||
      this.#turnBytes >= BYTES_PER_TURN;
  }

  /** Node's parser must not get a request while the response to an earlier one waits for the client to read. */
  #mayParse(): boolean {
    if (this.#isInBody()) return true;
    return !this.#socket.writableNeedDrain && this.#options.mayContinue();
  }

  #isInBody(): boolean {
    return this.#request !== undefined && !this.#request.complete;
  }

  #isInChunks(): boolean {
    return this.#isInBody() && this.#bodyBytesLeft === 0;
  }

  #wait(isTurnOver: boolean): void {
    this.#isWaiting = true;
    this.#socket.pause();
    // The count of turns was scheduled before, so that a new turn begins first.
    if (isTurnOver) setImmediate(() => this.continue());
    else this.#reserveHeld();
  }

  #nextPiece(held: Buffer): Buffer {
    const size = this.#pieceSize(held);
    this.#held = size < held.length ? held.subarray(size) : undefined;
    return held.subarray(0, size);
  }

  #pieceSize(held: Buffer): Bytes {
    if (this.#isInBody() && this.#bodyBytesLeft > 0) {
      const size = Math.min(this.#bodyBytesLeft, held.length);
      this.#bodyBytesLeft -= size;
      return size;
    }
    const limited = held.subarray(0, MAXIMUM_PIECE_BYTES);
    const end = limited.indexOf(HEAD_END);
    if (end < 0) return limited.length;
    if (!this.#isInBody()) this.#heads += 1;
    return end + HEAD_END.length;
  }
}
