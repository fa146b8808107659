import type {Entry, LogPosition} from './entry.js';
import type {Message} from './messages.js';
import type {WriteBatch, LogOperation} from './replica-types.js';

/** What a replica wants to be sent and synced. */
export class Outbox {
  private messages: Message[] = [];
  private heldMessages: Message[] = [];
  private operations: LogOperation[] = [];

  /** Sends a message that depends on no write. */
  send(message: Message): void {
    this.messages.push(message);
  }

  /** Sends a message once everything before it is synced. */
  sendAfterSync(message: Message): void {
    this.heldMessages.push(message);
  }

  /** Makes an operation durable; runs of entries are joined. */
  write(operation: LogOperation): void {
    const previous = this.operations.at(-1);
    if (
      operation.operation === 'entries' &&
      previous?.operation === 'entries' &&
      previous.entries.at(-1)?.index === operation.entries[0].index - 1
    ) {
      (previous.entries as Entry[]).push(...operation.entries);
      return;
    }
    this.operations.push(operation);
  }

  /** Messages that may go out at once. */
  takeMessages(): Message[] {
    const taken = this.messages;
    this.messages = [];
    return taken;
  }

  /** Whether `takeBatch` has something. */
  get hasBatch(): boolean {
    return this.operations.length > 0 || this.heldMessages.length > 0;
  }

  /** What is to be synced next; `last` is the end of the log with it done. */
  takeBatch(last: LogPosition): WriteBatch | undefined {
    if (!this.hasBatch) {
      return undefined;
    }
    const {operations, heldMessages: messages} = this;
    this.operations = [];
    this.heldMessages = [];
    return {operations, messages, last};
  }
}
