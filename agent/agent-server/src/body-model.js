import { Result } from 'true-myth';
const NAME = 'model';
const CODE_QUOTE = 0x22;
const CODE_BACKSLASH = 0x5c;
const CODE_COLON = 0x3a;
const OPENING = new Set([0x7b, 0x5b]);
const CLOSING = new Set([0x7d, 0x5d]);
/**
 * Reads the `model` field of a JSON body. A body in which another parser could find
 * another model is an error: a repeated key, one that differs in case, broken UTF-8.
 */
export function readBodyModel(body) {
    let text;
    let value;
    try {
        text = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(body);
        value = JSON.parse(text);
    }
    catch {
        return Result.err('the body is not JSON');
    }
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
        return Result.err('the body is not a JSON object');
    }
    const names = topLevelKeys(text).filter(key => key.toLowerCase() === NAME);
    if (names.length !== 1 || names[0] !== NAME) {
        return Result.err('the body must name its model exactly once');
    }
    const { model } = value;
    return typeof model === 'string'
        ? Result.ok(model)
        : Result.err('the model must be a string');
}
/** The keys of the outermost object of valid JSON, repeated ones included. */
function topLevelKeys(text) {
    const keys = [];
    let depth = 0;
    let string = '';
    for (let at = 0; at < text.length; at += 1) {
        const code = text.charCodeAt(at);
        if (code === CODE_QUOTE) {
            const end = stringEnd(text, at);
            string = depth === 1 ? text.slice(at, end + 1) : '';
            at = end;
        }
        else if (code === CODE_COLON && depth === 1) {
            keys.push(JSON.parse(string));
        }
        else if (OPENING.has(code)) {
            depth += 1;
        }
        else if (CLOSING.has(code)) {
            depth -= 1;
        }
    }
    return keys;
}
/** Position of the closing quote of the string that opens at `start`. */
function stringEnd(text, start) {
    let at = start + 1;
    while (text.charCodeAt(at) !== CODE_QUOTE) {
        at += text.charCodeAt(at) === CODE_BACKSLASH ? 2 : 1;
    }
    return at;
}
