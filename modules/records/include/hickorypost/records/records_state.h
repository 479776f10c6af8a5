#pragma once

#include "hickorypost/records/record_parser.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace hickorypost::records {

/// An operator's change as it travels through the replicated log.
struct record_change {
    std::string change_id; ///< names this very change; resending it gets the first answer again
    std::string kind;
    std::string name;
    std::uint64_t number = 0;
    std::uint64_t amends = 0; ///< the number that the operator saw; 0: the record must be new
    std::string document;
};

/// The command of the records group's log.
struct records_command {
    std::optional<record_change> change;
    std::optional<rollout_progress> progress;
};

enum class change_status : std::uint8_t {
    accepted,
    number_taken, ///< another change with this or a higher number came first
    stale,        ///< amends a number that is no longer the newest
    missing,      ///< amends a record that does not exist
    exists,       ///< submitted as new, but the record exists
    id_reused,    ///< the change id was used for other content
    invalid,      ///< the document has faults
};

struct change_result {
    change_status status = change_status::accepted;
    std::uint64_t index = 0;  ///< of the change in the log
    std::uint64_t number = 0; ///< the record's newest number now
    std::string winner;       ///< change id that holds it
    std::string detail;
};

struct stored_record {
    std::string kind;
    std::string name;
    std::uint64_t number = 0;
    std::uint64_t index = 0;
    std::string change_id;
    std::string document;
    std::int64_t wall_ms = 0;
};

enum class verdict : std::uint8_t {
    allowed,
    unknown_account,
    not_allowed,
    unknown_version,
    withdrawn
};

/// All records: the state machine of the records group, and the same state as each node follows it.
class records_state {
public:
    /// Applies one command of the log; deterministic.
    change_result apply(std::uint64_t index, std::int64_t wall_ms, const records_command& command);
    /// Applies an encoded command; a command that cannot be read changes nothing but the index.
    change_result apply_encoded(std::uint64_t index, std::int64_t wall_ms,
                                std::string_view command);

    [[nodiscard]] std::string save() const;
    /// Fails (false) on bytes that are not a saved state; the state is then unchanged.
    bool load(std::string_view bytes);

    [[nodiscard]] std::uint64_t index() const noexcept { return index_; }
    [[nodiscard]] std::vector<stored_record> list() const;

    /// What a change would meet now, without applying it.
    [[nodiscard]] change_result preview(const record_change& change) const;

    [[nodiscard]] const account_record* account_by_key_hash(std::string_view sha256) const;
    [[nodiscard]] const account_record* account(std::string_view name) const;
    [[nodiscard]] const model_record* model(std::string_view name) const;
    [[nodiscard]] const service_record* service(std::string_view name) const;
    [[nodiscard]] const cascade_record* cascade(std::string_view name) const;
    [[nodiscard]] const version_entry* version(const model_version& mv) const;
    [[nodiscard]] bool withdrawn(const model_version& mv) const;
    /// May this account start work on this version now?
    [[nodiscard]] verdict check(std::string_view account, const model_version& mv) const;
    [[nodiscard]] verdict check_service(std::string_view account, std::string_view service) const;

    /// The roll-out of a model that is running or done, if any.
    [[nodiscard]] const rollout_record* rollout_of(std::string_view model) const;
    [[nodiscard]] const rollout_progress* progress_of(std::string_view rollout) const;
    [[nodiscard]] std::uint64_t number_of(record_kind kind, std::string_view name) const;
    /// Version that new requests for the model get outside a roll-out's candidate share.
    [[nodiscard]] std::string current_version(std::string_view model) const;
    [[nodiscard]] const std::map<std::string, rollout_record>& rollouts() const noexcept
    {
        return rollouts_;
    }
    [[nodiscard]] const std::map<std::string, model_record>& models() const noexcept
    {
        return models_;
    }

private:
    struct seen_change {
        std::uint64_t digest = 0;
        change_result result;
    };
    struct saved_state;

    change_result apply_change(std::uint64_t index, std::int64_t wall_ms,
                               const record_change& change);
    void apply_progress(std::int64_t wall_ms, rollout_progress progress);
    void adopt(const stored_record& record);
    void remember(const std::string& change_id, seen_change seen);

    std::uint64_t index_ = 0;
    std::map<std::string, stored_record> records_; ///< by "kind/name"
    std::unordered_map<std::string, seen_change> seen_;
    std::deque<std::string> seen_order_;
    std::map<std::string, rollout_progress> progress_;

    // Parsed forms of `records_`.
    std::map<std::string, account_record, std::less<>> accounts_;
    std::unordered_map<std::string, std::string> account_by_hash_;
    std::map<std::string, model_record> models_;
    std::map<std::string, service_record, std::less<>> services_;
    std::map<std::string, rollout_record> rollouts_;
    std::map<std::string, withdrawal_record> withdrawals_;
    std::map<std::string, cascade_record, std::less<>> cascades_;
};

} // namespace hickorypost::records
