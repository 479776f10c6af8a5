#pragma once

#include "hickorypost/records/record_parser.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace hickorypost::records {

/// An operator's change to a record, as stored in the replicated log.
struct record_change {
    std::string change_id; ///< idempotency key: a resend returns the first result
    std::string kind;
    std::string name;
    std::uint64_t number = 0;
    std::uint64_t amends = 0; ///< number of the amended revision; 0: creates the record
    std::string document;
};

/// A command in the log of the records group.
struct records_command {
    std::optional<record_change> change;
    std::optional<rollout_progress> progress;
};

enum class change_status : std::uint8_t {
    accepted,
    number_taken, ///< the record already has this or a higher number
    stale,        ///< `amends` is not the record's newest number
    missing,      ///< amends a record that does not exist
    exists,       ///< submitted as new, but the record exists
    id_reused,    ///< another change was submitted under the same change id
    invalid,      ///< the document or the command cannot be parsed
};

struct change_result {
    change_status status = change_status::accepted;
    std::uint64_t index = 0;  ///< of the change in the log
    std::uint64_t number = 0; ///< the record's newest number now
    std::string winner;       ///< id of the change that holds `number`
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

/// The state machine of the records group. Control hosts apply the group's log to it, and every
/// other node applies the same commands to a replica.
class records_state {
public:
    /// Applies one command of the log. Deterministic.
    change_result apply(std::uint64_t index, std::int64_t wall_ms, const records_command& command);
    /// Decodes and applies a command. A command that cannot be decoded only advances the index and
    /// returns `change_status::invalid`.
    change_result apply_encoded(std::uint64_t index, std::int64_t wall_ms,
                                std::string_view command);

    [[nodiscard]] std::string save() const;
    /// Restores a state from `save`; empty `bytes` restore the empty state. Returns false and
    /// leaves the state unchanged if `bytes` cannot be decoded or have a newer format.
    bool load(std::string_view bytes);

    [[nodiscard]] std::uint64_t index() const noexcept { return index_; }
    [[nodiscard]] std::vector<stored_record> list() const;

    /// Returns the result that `change` would have now, without applying it.
    [[nodiscard]] change_result preview(const record_change& change) const;

    [[nodiscard]] const account_record* account_by_key_hash(std::string_view sha256) const;
    [[nodiscard]] const account_record* account(std::string_view name) const;
    [[nodiscard]] const model_record* model(std::string_view name) const;
    [[nodiscard]] const service_record* service(std::string_view name) const;
    [[nodiscard]] const cascade_record* cascade(std::string_view name) const;
    [[nodiscard]] const version_entry* version(const model_version& mv) const;
    [[nodiscard]] bool withdrawn(const model_version& mv) const;
    /// Checks whether the account may start work on this version now.
    [[nodiscard]] verdict check(std::string_view account, const model_version& mv) const;
    [[nodiscard]] verdict check_service(std::string_view account, std::string_view service) const;

    /// Returns the roll-out of a model, in any state, that was submitted or amended last, or null
    /// if none exists.
    [[nodiscard]] const rollout_record* rollout_of(std::string_view model) const;
    [[nodiscard]] const rollout_progress* progress_of(std::string_view rollout) const;
    [[nodiscard]] std::uint64_t number_of(record_kind kind, std::string_view name) const;
    /// Returns the version for new requests outside the share of a roll-out's candidate, or an
    /// empty string if the model is unknown.
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
    struct processed_change {
        std::uint64_t digest = 0;
        change_result result;
    };
    struct saved_state;

    change_result apply_change(std::uint64_t index, std::int64_t wall_ms,
                               const record_change& change);
    void apply_progress(std::int64_t wall_ms, rollout_progress progress);
    void index_parsed(const stored_record& record);
    void store_result(const std::string& change_id, processed_change processed);

    std::uint64_t index_ = 0;
    std::map<std::string, stored_record> records_; ///< by "kind/name"
    std::unordered_map<std::string, processed_change> results_;
    std::deque<std::string> result_order_;
    std::map<std::string, rollout_progress> progress_;

    // Parsed forms of the documents in `records_`.
    std::map<std::string, account_record, std::less<>> accounts_;
    std::unordered_map<std::string, std::string> account_by_hash_;
    std::map<std::string, model_record> models_;
    std::map<std::string, service_record, std::less<>> services_;
    std::map<std::string, rollout_record> rollouts_;
    std::map<std::string, withdrawal_record> withdrawals_;
    std::map<std::string, cascade_record, std::less<>> cascades_;
};

} // namespace hickorypost::records
