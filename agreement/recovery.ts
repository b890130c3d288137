/**
 * Recovers a replica from its data folder.
 *
 * @module
 */
import type { Applier } from "./applier.ts";
import type { LogStorage } from "./log_storage.ts";
import type { RecoveredState } from "./stored_state.ts";

/**
 * Opens a data folder and restores the state machines from its snapshot. Closes the folder again and rejects with a
 * `StorageError` if it is locked or corrupt.
 */
export async function recoverReplica(
  storage: LogStorage,
  applier: Applier,
  createIdentity: () => string,
): Promise<RecoveredState> {
  try {
    const recovered = await storage.open(createIdentity);
    const { snapshot } = recovered;
    if (snapshot === null) return recovered;
    const restoration = applier.startRestoration();
    await storage.readContents(snapshot, restoration);
    applier.finishRestoration(restoration, snapshot.meta.index);
    return recovered;
  } catch (error) {
    await storage.close();
    throw error;
  }
}
