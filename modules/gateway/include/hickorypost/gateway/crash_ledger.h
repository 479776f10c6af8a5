#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/request_identity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorypost::gateway {

/// Something that a host has learned about an identity. Facts merge to the same in any order.
struct crash_fact {
    enum class kind_type : std::uint8_t {
        crashed, ///< it was in flight on a backend server that ended
        cleared, ///< it has succeeded, or an operator has cleared it: what was before is void
        tried,   ///< it is sent once although it is refused otherwise
    };
    kind_type kind = kind_type::crashed;
    request_identity identity;
    std::string backend;              ///< incarnation; of `crashed`
    std::uint32_t crashes_before = 0; ///< known to its host when the attempt was sent; of `crashed`
    instant at;
};

struct crash_ledger_settings {
    /// Crashes after which a request is refused.
    std::uint32_t max_crashes = 3;
    /// A refused request is tried once after this long without a crash, by whichever host receives
    /// it first; doubles with each further crash.
    millis first_trial{60'000};
    millis longest_trial{600'000};
    millis retention{1'800'000};
    /// How long a fact may be late.
    millis clear_retention{60'000};
    /// Facts that are kept; those about the fewest crashes yield first.
    std::size_t max_facts = 4096;
    /// How late a heartbeat may arrive. A backend server that was taken for crashed is alive once
    /// its heartbeats have gone on for this long, from this long after its crash.
    millis max_heartbeat_delay{6000};
};

/// Which requests crash the backend servers that run them. Performs no I/O itself.
///
/// All requests in flight on a crashed backend server are suspects. A crash counts against those
/// that were in the most crashes, and only if their attempt was sent when the crash before was
/// known: many callers send equal requests, which lose several backend servers at the same moment.
/// The order is causal, as facts reach hosts with different delays. A success clears.
class crash_ledger {
public:
    using share_fn = std::function<void(const crash_fact&)>;
    /// A backend server that was taken for crashed is alive; `requests` were in flight there.
    using refuted_fn = std::function<void(std::string_view backend, std::size_t requests)>;

    /// `share`: called for each fact that this host has found itself.
    crash_ledger(crash_ledger_settings settings, clock_fn now, share_fn share,
                 refuted_fn refuted = {});

    /// `crashes_before`: what `crashes` returned when the attempt was sent.
    void crashed(const request_identity& identity, std::string_view backend,
                 std::uint32_t crashes_before);
    /// Returns false if nothing is known of it.
    bool clear(const request_identity& identity);
    void tried(const request_identity& identity);
    /// Takes a fact from another host. Returns true if it is news.
    bool take(const crash_fact& fact);
    /// A heartbeat has arrived, directly or from another host.
    void heartbeat(std::string_view backend);
    void expire();

    enum class standing : std::uint8_t { unknown, suspect, refused, trial };
    /// `trial`: it may be sent once; call `tried` then.
    [[nodiscard]] standing standing_of(const request_identity& identity) const;
    /// Crashes that count against it.
    [[nodiscard]] std::uint32_t crashes(const request_identity& identity) const;
    /// Crashes that it was in flight in, whether they count against it or not.
    [[nodiscard]] std::size_t known_crashes(const request_identity& identity) const;
    /// False for nearly all requests, without reading their bodies.
    [[nodiscard]] bool may_contain(std::uint64_t outline) const
    {
        return !outlines_.empty() && outlines_.contains(outline);
    }
    [[nodiscard]] bool empty() const noexcept { return records_.empty(); }
    [[nodiscard]] std::vector<crash_fact> all() const;

    /// A suspect as operators see it.
    struct suspect {
        request_identity identity;
        std::uint32_t crashes = 0;
        bool refused = false;
        std::vector<std::string> backends; ///< that ended while it was in flight
        micros since_last{0};
    };
    [[nodiscard]] std::vector<suspect> suspects() const;

private:
    struct mark {
        std::string backend;
        std::uint32_t crashes_before = 0;
        instant ended;
    };
    struct record {
        std::vector<mark> marks; ///< by end
        instant cleared;
        instant tried;
    };
    struct victim_list {
        std::vector<request_identity> identities;
        instant ended;       ///< the last crash that was reported
        instant alive_since; ///< the first heartbeat that cannot be from before; the epoch: none
    };
    using record_map = std::unordered_map<request_identity, record, request_identity_hash>;

    record& open(const request_identity& identity);
    bool add_mark(const crash_fact& fact);
    bool add_clear(const crash_fact& fact);
    void drop_mark(const request_identity& identity, const mark& it);
    void erase(record_map::iterator at);
    void make_room();
    [[nodiscard]] bool explained(const record& it, const mark& crash) const;
    [[nodiscard]] std::uint32_t count(const record& it) const;
    [[nodiscard]] instant trial_due(const record& it, std::uint32_t crashes) const;

    crash_ledger_settings settings_;
    clock_fn now_;
    share_fn share_;
    refuted_fn refuted_;
    record_map records_;
    std::unordered_map<std::uint64_t, std::uint32_t> outlines_; ///< how many records have it
    std::map<std::string, victim_list, std::less<>> victims_;   ///< by incarnation
    std::size_t facts_ = 0;
};

} // namespace hickorypost::gateway
