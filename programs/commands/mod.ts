/**
 * All commands of the operator program, as clipanion command classes.
 *
 * @module
 */
import { Command, type CommandClass, Option } from "clipanion";
import { SECOND_MS, SystemClock } from "#core";
import * as bundleCheck from "./bundle_check.ts";
import * as bundleDiff from "./bundle_diff.ts";
import * as bundleDraft from "./bundle_draft.ts";
import * as bundleSign from "./bundle_sign.ts";
import * as bundleStatus from "./bundle_status.ts";
import * as bundleSubmit from "./bundle_submit.ts";
import * as bundleWait from "./bundle_wait.ts";
import type { CommandOutcome } from "./command_outcome.ts";
import * as configurationCheck from "./configuration_check.ts";
import * as explain from "./explain.ts";
import * as keysGenerate from "./keys_generate.ts";
import * as keysList from "./keys_list.ts";
import {
  EntryCommand,
  OperatorCommand,
  parsePositiveInteger,
} from "./operator_command.ts";
import * as status from "./status.ts";

const DEFAULT_WAIT_SECONDS = "60";
const DEFAULT_KEY_FOLDER = "keys";

class BundleCheckCommand extends OperatorCommand {
  static override paths = bundleCheck.commandNames;
  static override usage = Command.Usage(bundleCheck.help);
  file = Option.String();

  override run(): Promise<CommandOutcome> {
    return bundleCheck.handler({ file: this.file });
  }
}

class BundleDiffCommand extends OperatorCommand {
  static override paths = bundleDiff.commandNames;
  static override usage = Command.Usage(bundleDiff.help);
  older = Option.String();
  newer = Option.String();

  override run(): Promise<CommandOutcome> {
    return bundleDiff.handler({ older: this.older, newer: this.newer });
  }
}

class BundleDraftCommand extends EntryCommand {
  static override paths = bundleDraft.commandNames;
  static override usage = Command.Usage(bundleDraft.help);

  override run(): Promise<CommandOutcome> {
    return bundleDraft.handler(this.createClient());
  }
}

class BundleSignCommand extends OperatorCommand {
  static override paths = bundleSign.commandNames;
  static override usage = Command.Usage(bundleSign.help);
  file = Option.String();
  key = Option.String("--key", {
    required: true,
    description: "File with the operator's private key.",
  });
  signer = Option.String("--signer", {
    description:
      "Name of the operator. Default: the name of the key file without .pem.",
  });
  out = Option.String("--out", {
    description:
      "File to write the signed bundle to. Default: standard output.",
  });

  override run(): Promise<CommandOutcome> {
    return bundleSign.handler({
      file: this.file,
      key: this.key,
      ...(this.signer === undefined ? {} : { signer: this.signer }),
      ...(this.out === undefined ? {} : { out: this.out }),
    });
  }
}

class BundleSubmitCommand extends EntryCommand {
  static override paths = bundleSubmit.commandNames;
  static override usage = Command.Usage(bundleSubmit.help);
  file = Option.String();

  override run(): Promise<CommandOutcome> {
    return bundleSubmit.handler(
      { file: this.file, clock: new SystemClock() },
      this.createClient(),
    );
  }
}

class BundleStatusCommand extends EntryCommand {
  static override paths = bundleStatus.commandNames;
  static override usage = Command.Usage(bundleStatus.help);

  override run(): Promise<CommandOutcome> {
    return bundleStatus.handler(this.createClient());
  }
}

class BundleWaitCommand extends EntryCommand {
  static override paths = bundleWait.commandNames;
  static override usage = Command.Usage(bundleWait.help);
  version = Option.String();
  seconds = Option.String("--seconds", DEFAULT_WAIT_SECONDS, {
    description: "Maximum wait in seconds.",
  });

  override run(): Promise<CommandOutcome> {
    const options = {
      version: parsePositiveInteger("VERSION", this.version),
      timeoutMs: parsePositiveInteger("--seconds", this.seconds) * SECOND_MS,
      clock: new SystemClock(),
    };
    return bundleWait.handler(options, this.createClient());
  }
}

class ConfigurationCheckCommand extends OperatorCommand {
  static override paths = configurationCheck.commandNames;
  static override usage = Command.Usage(configurationCheck.help);
  file = Option.String();
  against = Option.String("--against", {
    description:
      "Configuration to compare with: a file, or the control address HOST:PORT of a VM that is asked for the active one.",
  });

  override run(): Promise<CommandOutcome> {
    const { file, against } = this;
    return configurationCheck.handler({
      file,
      ...(against === undefined ? {} : { against }),
    });
  }
}

class StatusCommand extends EntryCommand {
  static override paths = status.commandNames;
  static override usage = Command.Usage(status.help);

  override run(): Promise<CommandOutcome> {
    return status.handler(this.createClient());
  }
}

class ExplainCommand extends EntryCommand {
  static override paths = explain.commandNames;
  static override usage = Command.Usage(explain.help);
  request = Option.String();

  override run(): Promise<CommandOutcome> {
    return explain.handler({ request: this.request }, this.createClient());
  }
}

class KeysGenerateCommand extends OperatorCommand {
  static override paths = keysGenerate.commandNames;
  static override usage = Command.Usage(keysGenerate.help);
  name = Option.String();
  folder = Option.String("--folder", DEFAULT_KEY_FOLDER, {
    description: "Folder with the key files.",
  });

  override run(): Promise<CommandOutcome> {
    return keysGenerate.handler({ name: this.name, folder: this.folder });
  }
}

class KeysListCommand extends OperatorCommand {
  static override paths = keysList.commandNames;
  static override usage = Command.Usage(keysList.help);
  folder = Option.String("--folder", DEFAULT_KEY_FOLDER, {
    description: "Folder with the key files.",
  });

  override run(): Promise<CommandOutcome> {
    return keysList.handler({ folder: this.folder });
  }
}

/** All commands of `cicadafield`. */
export const COMMANDS: readonly CommandClass[] = [
  BundleCheckCommand,
  BundleDiffCommand,
  BundleDraftCommand,
  BundleSignCommand,
  BundleSubmitCommand,
  BundleStatusCommand,
  BundleWaitCommand,
  ConfigurationCheckCommand,
  StatusCommand,
  ExplainCommand,
  KeysGenerateCommand,
  KeysListCommand,
];
