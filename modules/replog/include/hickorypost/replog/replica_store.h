#pragma once

#include "hickorypost/replog/types.h"
#include "hickorypost/storage/journal.h"

#include <memory>

namespace hickorypost::replog {

/// A replica's disk: identity, hard state, log entries and the last snapshot.
///
/// Used by one thread. Errors are `storage::storage_error`; after an error, the process must
/// restart.
class replica_store {
public:
    /// Opens or creates the files whose names begin with `prefix`. A disk without an identity file
    /// gets a random identity. `first_start_seeds`: set if the system starts for the first time;
    /// stored with the identity and kept from then on.
    static result<std::unique_ptr<replica_store>>
    open(storage::file_system& fs, std::string prefix, node_id self, const random_fn& random,
         std::optional<std::vector<node_id>> first_start_seeds = std::nullopt);

    /// Returns the state that was read when the store was opened. Must be called at most once.
    recovered_state take_recovered() { return std::move(recovered_); }

    /// Writes a batch; it is durable only after the next `sync`.
    result<void> append(const persist_batch& batch);
    result<void> sync();

private:
    replica_store(storage::file_system& fs, std::string prefix);
    result<void> load_identity(node_id self, const random_fn& random,
                               std::optional<std::vector<node_id>> first_start_seeds);
    result<void> load_snapshot();
    result<void> load_journal();
    void replay(std::string_view payload);

    storage::file_system* fs_;
    std::string prefix_;
    recovered_state recovered_;
    hard_state hard_state_; ///< last written; repeated at the start of each journal segment
    std::optional<storage::journal> journal_;
};

} // namespace hickorypost::replog
