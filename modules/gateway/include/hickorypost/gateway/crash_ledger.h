#pragma once

#include "hickorypost/base/time.h"
#include "hickorypost/gateway/crashed_attempt.h"
#include "hickorypost/gateway/recent_parts.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorypost::gateway {

/// An event that concerns a suspect, found by one host and sent to all others. Hosts that have
/// received the same facts agree, whatever the order of arrival. A fact travels with its age,
/// so the longer a copy takes, the later `at` seems: `at` must not decide whether a fact is known.
struct crash_fact {
    enum class kind_type : std::uint8_t {
        crashed, ///< a request of this suspect was in flight on a backend server that crashed
        cleared, ///< voids a known crash: a request succeeded, or an operator cleared the suspect
        tried,   ///< a request was sent as a trial, although the suspect is refused
    };
    kind_type kind = kind_type::crashed;
    request_identity identity; ///< of a request, or of a prompt part
    /// Incarnation that crashed, or whose crash is void; empty for `tried`. Earlier releases leave
    /// it empty for `cleared`, which then voids all crashes before `at`.
    std::string backend;
    /// Crashes that the host knew of when it sent the attempt; `crashed` only.
    std::uint32_t crashes_before = 0;
    instant at;
};

struct crash_ledger_settings {
    /// Crashes that count against an identity until its requests are refused.
    std::uint32_t max_crashes = 3;
    /// After this long without a crash, the first host that receives a request of a refused
    /// identity sends that request as a trial. The time doubles with each further crash, up to
    /// `longest_trial`.
    millis first_trial{60'000};
    millis longest_trial{600'000};
    /// Time after the last crash until an identity is forgotten.
    millis retention{1'800'000};
    /// Time until a clearance is forgotten, and a trial of an identity without crashes. A clearance
    /// that takes longer to reach a host has no effect there.
    millis clear_retention{60'000};
    /// The longest delay of a copy of a known fact. Facts are kept for this much longer than they
    /// are accepted, so that a copy of a forgotten fact is not new.
    millis max_copy_delay{10'000};
    /// A success of a request voids the crashes of its prompt parts that are reported within this
    /// time, and at most twice this time, after the success.
    millis alibi_time{10'000};
    /// Upper bound of parts whose last success is remembered.
    std::size_t max_recent_parts = 8192;
    /// Upper bound of parts of an attempt that are suspects. The first ones are shared most.
    std::size_t max_suspect_parts = 128;
    /// Crashes of a part at least this far apart are independent, as are those of attempts that
    /// were sent with different numbers of known crashes.
    millis simultaneous{250};
    /// Upper bound of stored facts. Identities with the fewest crashes are evicted first.
    std::size_t max_facts = 4096;
    /// The longest delay of a heartbeat. Heartbeats count from this long after a reported
    /// crash; if they then continue for as long again, the backend server is alive and the crash is
    /// refuted.
    millis max_heartbeat_delay{6000};
};

/// Finds requests, and parts of prompts, that crash the backend servers that run them. Performs no
/// I/O itself.
///
/// All requests in flight on a crashed backend server are suspects, and so are the parts of their
/// prompts that other requests may share. A crash counts only against those suspects that were in
/// the most crashes. A part and another suspect with equally many do not count: neither is known to
/// be to blame. A part is usually in flight everywhere, so it is no suspect of a crash if a request
/// with it has succeeded a short time before.
///
/// Crashes of attempts that were sent with the same number of known crashes count once: many
/// callers send equal requests, and several backend servers that end at the same moment would
/// otherwise suffice to refuse them. That number orders crashes causally, since facts reach hosts
/// with different delays. A success voids all crashes that its host knows.
class crash_ledger {
public:
    using share_fn = std::function<void(const crash_fact&)>;
    /// Called when a backend server that was reported as crashed turns out to be alive. `requests`:
    /// the number of identities that were blamed for its crash.
    using refuted_fn = std::function<void(std::string_view backend, std::size_t requests)>;
    /// Called when a suspect becomes refused because of a crash.
    using refused_fn = std::function<void(const request_identity&)>;

    /// `share`: called for each new fact that this host has found itself, to send it to other
    /// hosts.
    crash_ledger(crash_ledger_settings settings, clock_fn now, share_fn share,
                 refuted_fn refuted = {}, refused_fn refused = {});

    /// Records that an attempt was in flight on a backend server that crashed.
    void crashed(const crashed_attempt& attempt);
    /// Records that a suspect was in flight on a backend server that crashed.
    /// `crashes_before`: the result of `crashes` when the attempt was sent.
    void crashed(const request_identity& identity, std::string_view backend,
                 std::uint32_t crashes_before);
    /// Voids all crashes of a suspect. Returns false if it has none.
    bool clear(const request_identity& identity);
    /// Records that a request with this part in its prompt has succeeded.
    void part_succeeded(std::uint64_t part);
    /// Records that a request was sent as a trial.
    void tried(const request_identity& identity);
    /// Merges a fact from another host. Returns true if it was new.
    bool take(const crash_fact& fact);
    /// Notes that a heartbeat has arrived, directly or through another host.
    void heartbeat(std::string_view backend);
    /// Forgets identities whose retention has passed.
    void expire();

    enum class standing : std::uint8_t { unknown, suspect, refused, trial };
    struct judgement {
        standing result = standing::unknown;
        /// The suspects that `refused` or `trial` is about. Several if they were always in flight
        /// together: which of them is to blame is not known.
        std::vector<request_identity> culprits;
    };
    /// Judges a request by its identity and its parts. Returns `trial` if a refused request may be
    /// sent once; the caller then calls `tried`.
    [[nodiscard]] judgement judge(std::span<const request_identity> suspects) const;
    [[nodiscard]] standing standing_of(const request_identity& identity) const
    {
        return judge({&identity, 1}).result;
    }
    /// The number of crashes that count against a suspect, or against inseparable parts together.
    [[nodiscard]] std::uint32_t crashes(const request_identity& identity) const;
    /// The number of crashes in which a suspect was in flight, whether or not they count.
    [[nodiscard]] std::size_t known_crashes(const request_identity& identity) const;
    [[nodiscard]] const crash_ledger_settings& settings() const noexcept { return settings_; }
    /// Whether any known suspect has this outline. False for nearly all requests, without reading
    /// their bodies.
    [[nodiscard]] bool may_contain(std::uint64_t outline) const
    {
        return !outlines_.empty() && outlines_.contains(outline);
    }
    [[nodiscard]] bool empty() const noexcept { return records_.empty(); }
    /// All stored facts, for a host that has just connected.
    [[nodiscard]] std::vector<crash_fact> all() const;

    /// A suspect as listed for operators.
    struct suspect {
        request_identity identity;
        std::uint32_t crashes = 0;
        bool refused = false;
        std::vector<std::string> backends; ///< incarnations that crashed while it was in flight
        micros since_last{0};              ///< age of the last crash
    };
    /// All suspects with crashes, those with the most first.
    [[nodiscard]] std::vector<suspect> suspects() const;

private:
    struct crash_event {
        std::string backend;
        std::uint32_t crashes_before = 0;
        instant crashed_at;
    };
    /// A crash that no longer counts. It is remembered, so that no delayed report counts it again.
    struct void_crash {
        std::string backend;
        instant cleared_at;
    };
    struct record {
        std::vector<crash_event> events; ///< sorted by `crashed_at`
        std::vector<void_crash> voided;  ///< in order of arrival
        instant tried;
        bool reported_refused = false; ///< `refused_` has been called
    };
    struct crashed_backend {
        std::vector<request_identity> identities;
        instant crashed_at; ///< of the last crash that was reported
        /// The first heartbeat that cannot have been sent before the crash; the epoch if none.
        instant alive_since;
    };
    using record_map = std::unordered_map<request_identity, record, request_identity_hash>;

    record& find_or_add(const request_identity& identity);
    /// These return true if the fact was new.
    bool add_crash(const crash_fact& fact);
    bool add_clearance(const crash_fact& fact);
    /// Handles a clearance that names no backend server.
    bool clear_earlier_crashes(const crash_fact& fact);
    bool add_trial(const crash_fact& fact);
    /// Whether a fact is so old that it would be forgotten at once.
    [[nodiscard]] bool expired(const crash_fact& fact) const;
    /// Removes an event of an identity from the index of crashed backend servers.
    void unindex(const request_identity& identity, const crash_event& event);
    void erase(record_map::iterator at);
    /// Removes the identities with the fewest crashes until a fact fits.
    void evict();
    /// Whether another suspect in flight in this crash was in more crashes, or in equally many if
    /// one of the two is a part and the other suspect is not among `same_request`, which includes
    /// the suspect itself.
    [[nodiscard]] bool has_likelier_suspect(const record_map::value_type& entry,
                                            const crash_event& event,
                                            std::span<const request_identity> same_request) const;
    /// The number of independent crashes that count against a suspect.
    [[nodiscard]] std::uint32_t count_crashes(const record_map::value_type& entry,
                                              std::span<const request_identity> same_request) const;
    [[nodiscard]] standing standing_of(const record_map::value_type& entry,
                                       std::span<const request_identity> same_request) const;
    /// The suspect itself and, for a part, the parts that were in flight in the same crashes.
    [[nodiscard]] std::vector<request_identity>
    inseparable_suspects(const record_map::value_type& entry) const;
    /// Calls `refused_` if a crash made the suspect refused.
    void report_if_refused(const request_identity& identity);
    [[nodiscard]] instant trial_due(const record& entry, std::uint32_t crashes) const;

    crash_ledger_settings settings_;
    clock_fn now_;
    share_fn share_;
    refuted_fn refuted_;
    refused_fn refused_;
    recent_parts successes_;
    record_map records_;
    std::unordered_map<std::uint64_t, std::uint32_t> outlines_; ///< number of records by outline
    std::map<std::string, crashed_backend, std::less<>> crashed_backends_; ///< by incarnation
    std::size_t facts_ = 0;
};

} // namespace hickorypost::gateway
