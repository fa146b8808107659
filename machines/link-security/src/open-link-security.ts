import {
  OPERATOR_TOKENS_SCHEMA,
  type OperatorTokens,
} from '@marigoldspur/access';
import type {EventLog} from '@marigoldspur/event-log';
import {type Finding, InvalidInput} from '@marigoldspur/faults';
import {KeyFile, createSchemaParser, PemFiles} from '@marigoldspur/key-files';
import type {LinkSecurity} from './link-security.js';
import type {LinkSettings} from './link-settings.js';
import {isLoopback} from './is-loopback.js';
import {MutualTlsSecurity} from './mutual-tls-security.js';
import {PlaintextSecurity} from './plaintext-security.js';
import {OperatorTokenTable} from './operator-token-table.js';

/**
 * Opens the link security that the settings describe: mutual TLS with the key files that they
 * name, or plain HTTP, which is allowed only on loopback or a trusted network. Throws
 * `InvalidInput` if the settings or the files are invalid.
 */
export async function openLinkSecurity(
  settings: LinkSettings,
  events: EventLog,
): Promise<LinkSecurity> {
  const {tlsCert, tlsKey, tlsCa} = settings;
  const findings = validateLinkSettings(settings);
  if (findings.length > 0) {
    throw new InvalidInput(findings);
  }
  if (tlsCert === undefined || tlsKey === undefined || tlsCa === undefined) {
    events.record('insecure-loopback', {host: settings.host});
    return new PlaintextSecurity();
  }
  const files = {cert: tlsCert, key: tlsKey, ca: tlsCa};
  const onReload = () => security.replaceKeys(pem.current);
  const pem = await PemFiles.open({files, events, onReload});
  const tokens = await openTokens(settings.operatorTokens, events);
  const security = new MutualTlsSecurity(
    pem.current,
    new OperatorTokenTable(() => tokens?.current ?? {tokens: []}),
    () => [pem, tokens].forEach(file => file?.stop()),
  );
  return security;
}

function validateLinkSettings(settings: LinkSettings): Finding[] {
  const {host, tlsCert, tlsKey, tlsCa, operatorTokens} = settings;
  const files = {'--tls-cert': tlsCert, '--tls-key': tlsKey, '--tls-ca': tlsCa};
  const missing = Object.entries(files).filter(
    ([, file]) => file === undefined,
  );
  if (missing.length > 0 && missing.length < Object.keys(files).length) {
    return missing.map(([place]) => ({
      place,
      reason: 'is required together with the other TLS files',
    }));
  }
  if (missing.length === 0) {
    return [];
  }
  const findings: Finding[] = [];
  if (!isLoopback(host) && settings.trustedNetwork !== true) {
    findings.push({
      place: '--host',
      reason: `${host} is not a loopback address and requires --tls-cert, --tls-key and --tls-ca, or --trusted-network`,
    });
  }
  if (operatorTokens !== undefined) {
    findings.push({
      place: '--operator-tokens',
      reason: 'requires --tls-cert, --tls-key and --tls-ca',
    });
  }
  return findings;
}

async function openTokens(
  file: string | undefined,
  events: EventLog,
): Promise<KeyFile<OperatorTokens> | undefined> {
  return file === undefined
    ? undefined
    : KeyFile.open({
        file,
        parse: await createSchemaParser(OPERATOR_TOKENS_SCHEMA),
        events,
      });
}
