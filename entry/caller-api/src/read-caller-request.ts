import {Result} from 'true-myth';
import {z} from 'zod';
import {formatFindings, Refusal, schemaFindings} from '@marigoldspur/faults';
import {
  parseModel,
  type AdapterVersion,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {locateAdapter, findVersion} from '@marigoldspur/settings-tree';

/** Request line of a caller's request, and the authenticated customer. */
export interface RequestHead {
  readonly method: string;
  /** Path with its query string. */
  readonly url: string;
  /** Customer of the caller's key; undefined if no keys are configured. */
  readonly customer: string | undefined;
}

/** A request to a model service. */
export interface ModelRequest {
  readonly kind: 'model';
  readonly customer: string;
  readonly service: string;
  readonly model: AdapterVersion;
  readonly stream: boolean;
  /** Path on the engine. */
  readonly url: string;
}

/** A request to a plain service. */
export interface PlainRequest {
  readonly kind: 'plain';
  readonly customer: string;
  readonly service: string;
  /** Path on the service. */
  readonly url: string;
}

/** A caller's request, resolved to a service of a customer. */
export type CallerRequest = ModelRequest | PlainRequest;

const MODEL_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);

const MODEL_BODY_SCHEMA = z.looseObject({
  model: z.string(),
  stream: z.boolean().optional(),
});

/**
 * Parses a caller's request and looks up the requested adapter or service in
 * the settings tree.
 */
export function readCallerRequest(
  head: RequestHead,
  body: Buffer,
  tree: SettingsTree,
): Result<CallerRequest, Refusal> {
  const path = head.url.split('?', 1)[0];
  if (MODEL_PATHS.has(path)) {
    return head.method === 'POST'
      ? readModelRequest(head, body, tree)
      : Result.err(
          createNotRunRefusal(
            405,
            'method_not_allowed',
            'this path accepts POST requests only',
          ),
        );
  }
  return readPlainRequest(head, path, tree);
}

function readModelRequest(
  head: RequestHead,
  body: Buffer,
  tree: SettingsTree,
): Result<CallerRequest, Refusal> {
  const parsed = MODEL_BODY_SCHEMA.safeParse(parseJson(body));
  if (!parsed.success) {
    const message = formatFindings(schemaFindings(parsed.error));
    return Result.err(createNotRunRefusal(400, 'malformed_body', message));
  }
  const model = parseModel(parsed.data.model);
  if (model.isErr) {
    const message = formatFindings([model.error]);
    return Result.err(createNotRunRefusal(400, 'malformed_model', message));
  }
  const location = locateAdapter(tree, head.customer, model.value);
  const {adapter, version} = model.value;
  if (location === undefined) {
    return Result.err(
      createNotRunRefusal(
        404,
        'unknown_adapter',
        `adapter "${adapter}" does not exist`,
      ),
    );
  }
  const knownVersion = findVersion(location.adapter, version);
  if (knownVersion === undefined || knownVersion.retired) {
    const state = knownVersion === undefined ? 'unknown' : 'retired';
    return Result.err(
      createNotRunRefusal(
        404,
        `${state}_version`,
        `adapter "${adapter}": ${state} version "${version}"`,
      ),
    );
  }
  return Result.ok({
    kind: 'model',
    customer: location.customer,
    service: location.service,
    model: model.value,
    stream: parsed.data.stream === true,
    url: head.url,
  });
}

function readPlainRequest(
  head: RequestHead,
  path: string,
  tree: SettingsTree,
): Result<CallerRequest, Refusal> {
  const prefix = path.split('/', 2)[1] ?? '';
  const customers = Object.entries(tree.customers).filter(
    ([name]) => head.customer === undefined || name === head.customer,
  );
  for (const [customer, {services}] of customers) {
    for (const [service, value] of Object.entries(services)) {
      if (value.kind === 'plain' && value.pathPrefix === prefix) {
        const rest = head.url.slice(prefix.length + 1);
        const url = rest.startsWith('/') ? rest : `/${rest}`;
        return Result.ok({kind: 'plain', customer, service, url});
      }
    }
  }
  return Result.err(
    createNotRunRefusal(
      404,
      'unknown_service',
      `no service is configured at path "${path}"`,
    ),
  );
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function createNotRunRefusal(
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal('not-run', status, reason, message);
}
