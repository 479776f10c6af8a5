#pragma once

#include "hickorypost/ledger/ledger_types.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace hickorypost::ledger {

struct ledger_options {
    /// How long a request key is kept after the first command that names it. Usage of a request
    /// that started before this window and has no key is recorded as late and not billed, because
    /// it may have been billed already.
    std::int64_t window_ms = 15LL * 60 * 1000;
    /// The same for non-idempotent requests, whose retries by the caller must find the first
    /// attempt.
    std::int64_t non_idempotent_window_ms = 24LL * 60 * 60 * 1000;
    /// How long a session stays bound after the last bind command that names it.
    std::int64_t session_ms = 24LL * 60 * 60 * 1000;
};

/// The replicated state of one ledger group. Its size is bounded by the requests and sessions
/// within the retention windows plus one row per account, version, hour and outcome; it does not
/// grow with the total number of requests.
class ledger_state {
public:
    explicit ledger_state(ledger_options options) : options_{options} {}

    /// Applies a batch. `wall_ms` is the leader's wall-clock time in ms; a value below an earlier
    /// one is raised to it.
    ledger_batch_reply apply(std::int64_t wall_ms, const ledger_batch& batch);
    [[nodiscard]] report_answer report(const report_query& query) const;

    [[nodiscard]] std::string save() const;
    /// Replaces the state by a saved one; empty input resets it. Returns false and keeps the state
    /// if `bytes` is malformed or of a newer format.
    bool load(std::string_view bytes);

    [[nodiscard]] std::size_t open_keys() const noexcept { return requests_.size(); }
    [[nodiscard]] std::size_t sessions() const noexcept { return sessions_.size(); }
    [[nodiscard]] std::size_t rows() const noexcept { return rows_.size(); }
    [[nodiscard]] std::uint64_t facts() const noexcept { return facts_; }

private:
    struct request_entry {
        open_request opened;
        bool was_opened = false;
        bool closed = false;
        request_outcome outcome = request_outcome::unknown;
        model_version target;
        std::int64_t cost = 0;
        std::int64_t first_seen_ms = 0;
        bool long_lived = false;
    };
    struct session_entry {
        std::string version;
        std::int64_t last_ms = 0;
    };
    struct row_key {
        std::string account;
        model_version target;
        std::int64_t hour_ms = 0;
        request_outcome outcome = request_outcome::complete;
        friend auto operator<=>(const row_key&, const row_key&) = default;
    };
    struct expiry {
        std::int64_t due_ms = 0;
        request_key key;
    };
    struct saved_state;

    ledger_reply apply_open(const open_request& open);
    ledger_reply apply_bind(const bind_session& bind);
    ledger_reply apply_usage(const usage_fact& fact);
    request_entry& remember(const request_key& key, bool long_lived);
    void expire();
    void expire_from(std::deque<expiry>& queue);
    void expire_sessions();
    void count(const usage_fact& fact);
    report_row& row(const row_key& key);

    ledger_options options_;
    std::int64_t now_ms_ = 0;
    std::unordered_map<request_key, request_entry, request_key_hash> requests_;
    std::deque<expiry> short_expiry_;
    std::deque<expiry> long_expiry_;
    std::map<std::string, session_entry> sessions_;
    std::int64_t sessions_swept_ms_ = 0;
    std::map<row_key, report_row> rows_;
    std::uint64_t facts_ = 0;
    std::uint64_t duplicate_usage_ = 0;
    std::uint64_t wasted_tokens_ = 0;
};

/// Index of the ledger group of a request or session; the same on every host.
std::uint32_t group_of(const request_key& key, std::uint32_t groups) noexcept;
std::uint32_t group_of_session(std::string_view account, std::string_view session,
                               std::uint32_t groups) noexcept;

/// Cost in millionths of the currency unit; prices are per million tokens. Rounds up once per
/// line, so that the sum over lines equals the total exactly.
std::int64_t cost_of(const wire::usage& used, std::int64_t price_in,
                     std::int64_t price_out) noexcept;

} // namespace hickorypost::ledger
