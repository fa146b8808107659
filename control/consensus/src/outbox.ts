import type {Entry, LogPosition} from './entry.js';
import type {Message} from './messages.js';
import type {WriteBatch, LogOperation} from './replica-types.js';

/** Buffers the messages to send and the operations to sync. */
export class Outbox {
  private messages: Message[] = [];
  private messagesAfterSync: Message[] = [];
  private operations: LogOperation[] = [];

  /** Queues a message that does not depend on a write. */
  send(message: Message): void {
    this.messages.push(message);
  }

  /** Queues a message that is sent once all operations queued before it are synced. */
  sendAfterSync(message: Message): void {
    this.messagesAfterSync.push(message);
  }

  /** Queues an operation to sync; consecutive entries are merged into one operation. */
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

  /** Takes the messages that can be sent immediately. */
  takeMessages(): Message[] {
    const taken = this.messages;
    this.messages = [];
    return taken;
  }

  /** Whether `takeBatch` would return a batch. */
  get hasBatch(): boolean {
    return this.operations.length > 0 || this.messagesAfterSync.length > 0;
  }

  /** Takes the next batch to sync; `last` is the last log position after the batch. */
  takeBatch(last: LogPosition): WriteBatch | undefined {
    if (!this.hasBatch) {
      return undefined;
    }
    const {operations, messagesAfterSync: messages} = this;
    this.operations = [];
    this.messagesAfterSync = [];
    return {operations, messages, last};
  }
}
