#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorypost::gateway {

enum class backend_state : std::uint8_t { ready, draining, gone };

/// One incarnation (process start) of a backend server, as described in its own heartbeats. Sent
/// between processes, so new fields may only be appended.
struct backend_record {
    std::string id; ///< of this incarnation, see `incarnation_id`
    std::string service;
    std::string address; ///< IP:PORT
    std::string failure_domain;
    std::string version; ///< software version
    std::uint32_t slots = 1;
    backend_state state = backend_state::ready;
    std::uint64_t cold_ms = 0;  ///< remaining warm-up time when the record was sent
    std::uint64_t sequence = 0; ///< increases with each heartbeat of an incarnation
    std::string name;           ///< name of the backend server; may stay the same over restarts
    std::uint64_t born = 0;     ///< start time in Unix milliseconds; 0 if unknown
    /// Of a departure: it was announced without a start time, so that heartbeats can refute it.
    bool announced_by_name = false;
};

/// Identity of one start of a backend server: its name, and its start time if that is known. The
/// start time tells incarnations apart that use the same name, as a restart loses all earlier
/// state.
std::string incarnation_id(std::string_view name, std::uint64_t born);

struct directory_settings {
    /// Time without a heartbeat after which a backend server is used only where no other is left.
    /// Spans several heartbeats, because one may arrive seconds late from a sender that works.
    millis stale_after{6000};
    /// Time without a heartbeat after which a backend server is removed.
    millis forget_after{60'000};
    /// How long the id of a removed incarnation is kept, so that a delayed heartbeat cannot add it
    /// again.
    millis tombstone{600'000};
    /// Heartbeats after which an incarnation that was replaced at its address counts as alive
    /// again. A single heartbeat may have been delayed on its way; a second one shows that the
    /// sender runs.
    std::uint32_t heartbeats_to_restore = 2;
    /// Heartbeats that refute a departure announced by name only: such an announcement may be a
    /// delayed one of an earlier incarnation.
    std::uint32_t heartbeats_to_refute_departure = 2;
    /// Failure domains in which a backend server must have failed a probe before processes in other
    /// domains avoid it too. A single domain may be partitioned from it.
    std::size_t min_failed_domains = 2;
    /// Smallest change of the end of a warm-up that is forwarded to other processes. Larger than
    /// the variation of a heartbeat's time on its way.
    millis min_cold_change{300};
};

/// A backend server in the directory.
struct backend_entry {
    backend_record record;
    instant heard;         ///< time of the newest heartbeat
    bool replaced = false; ///< another incarnation has since taken its address
    std::uint32_t heartbeats_since_replaced = 0;
    bool silent = false; ///< result of the last `expire`
    instant cold_until;  ///< end of the warm-up, as stated by heartbeats
    /// End of a warm-up that no heartbeat has stated yet, see `assume_cold`.
    instant assumed_cold_until;
    /// Failure domains in which a liveness probe has failed since the newest heartbeat.
    std::set<std::string, std::less<>> failed_domains;
    /// Newest heartbeat known at the time of these probes.
    std::uint64_t failed_at_sequence = 0;
};

/// Directory of the backend servers of all services. Soft state that each process builds from the
/// heartbeats that it receives itself and those that other processes forward. Performs no I/O.
///
/// Heartbeats may arrive late, out of order and over several paths. For each name only the newest
/// incarnation is kept: heartbeats of an older one are ignored, and a newer one immediately
/// replaces the older entry with all its state.
class backend_directory {
public:
    explicit backend_directory(directory_settings settings, std::string own_domain = {})
        : settings_{settings}, own_domain_{std::move(own_domain)}
    {
    }

    enum class change : std::uint8_t { none, touched, changed };
    /// Effect of a heartbeat: ignored, only renewed the entry, or changed the entry's data.
    /// Applies a heartbeat, or a departure if its state is `gone`; stale records are ignored.
    change take(const backend_record& record, instant now);
    /// Applies a heartbeat that carries only its sequence. Returns true if the sequence is new.
    bool touch(std::string_view id, std::uint64_t sequence, instant now);
    /// Records a failed liveness probe in failure domain `domain`; `sequence` is the newest
    /// heartbeat that the prober knew. Counts until the next heartbeat. Returns true if not
    /// recorded before.
    bool take_probe_failure(std::string_view id, std::uint64_t sequence, std::string_view domain);
    /// Marks an incarnation as draining because it says so itself, whatever its heartbeats say.
    /// Returns its record, to be forwarded; null if it is unknown or known to be draining.
    const backend_record* mark_draining(std::string_view id);
    /// Removes an incarnation that has shut down or was found to be absent from its address.
    bool remove(std::string_view id, instant now);
    /// Returns the incarnations that a newer start under the same name has replaced since the last
    /// call. Their requests are lost, even if their connections still look open.
    std::vector<std::string> take_superseded();
    /// The newest known incarnation of a name; null if none is known.
    [[nodiscard]] const backend_entry* find_named(std::string_view name) const;
    /// A backend server that became silent, or is no longer silent.
    struct silence_change {
        std::string id;
        bool silent = false;
    };
    /// Removes entries without a heartbeat for `forget_after`, and expired tombstones. Returns the
    /// backend servers whose silence began or ended since the last call.
    std::vector<silence_change> expire(instant now);
    /// Number of backend servers that were silent at the last `expire`.
    [[nodiscard]] std::size_t silent() const noexcept;

    [[nodiscard]] const backend_entry* find(std::string_view id) const;
    /// Incarnations of a service that may get new work: those with recent heartbeats; if there are
    /// none, the silent ones.
    [[nodiscard]] std::vector<const backend_entry*> usable(std::string_view service,
                                                           instant now) const;
    [[nodiscard]] bool stale(const backend_entry& it, instant now) const
    {
        return now > it.heard + settings_.stale_after || probe_failed(it);
    }
    /// Whether probes have failed in the own or in `min_failed_domains` failure domains since the
    /// newest heartbeat.
    [[nodiscard]] bool probe_failed(const backend_entry& it) const
    {
        return it.failed_domains.contains(own_domain_) ||
               it.failed_domains.size() >= settings_.min_failed_domains;
    }
    /// All records, including tombstones, to initialize the directory of another process.
    [[nodiscard]] std::vector<backend_record> all(instant now) const;

    /// Sets the failure domains whose backend servers get no new work. Returns those that were
    /// evacuated until now and are no longer.
    std::vector<std::string> set_evacuated(std::vector<std::string> domains);
    [[nodiscard]] bool is_evacuated(std::string_view domain) const;
    /// Whether the service has backend servers, all of which are in evacuated failure domains.
    [[nodiscard]] bool is_fully_evacuated(std::string_view service) const;
    /// Whether a failure domain has at least one known backend server.
    [[nodiscard]] bool has_backends_in(std::string_view domain) const;
    /// Considers the service's backend servers in a failure domain cold until `until`. They may
    /// have become cold since their last heartbeats.
    void assume_cold(std::string_view domain, std::string_view service, instant until);
    /// Whether the backend server is warming up.
    [[nodiscard]] static bool is_cold(const backend_entry& it, instant now)
    {
        return now < it.cold_until || now < it.assumed_cold_until;
    }
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    /// The newest known start of a name.
    struct known_start {
        std::string id;
        std::uint64_t born = 0;
        instant seen;
    };
    /// A removed incarnation, whose heartbeats are ignored.
    struct tombstone {
        instant at;
        /// If not empty, the departure was announced by this name only and heartbeats can refute
        /// it. Equal to the tombstone's id if no incarnation was known then.
        std::string announced_name;
        std::uint64_t sequence = 0;   ///< of the newest heartbeat received
        std::uint32_t heartbeats = 0; ///< heartbeats received since the departure
        std::uint64_t born = 0;       ///< start time of the incarnation, if announced by name
    };

    using tombstone_map = std::map<std::string, tombstone, std::less<>>;

    /// The tombstone that concerns this heartbeat, if any.
    [[nodiscard]] tombstone_map::iterator find_tombstone(const backend_record& record);
    /// Whether a tombstone rejects this heartbeat. Drops a tombstone that heartbeats have refuted.
    [[nodiscard]] bool blocked_by_tombstone(const backend_record& record);
    /// Registers the record's start and replaces an older one. Returns false if a newer start of
    /// the name is known.
    bool accept_start(const backend_record& record, instant now);
    change handle_departure(const backend_record& record, instant now);
    /// Removes an entry and leaves a tombstone. Returns true if either is new.
    bool add_tombstone(std::string_view id, tombstone stone);
    /// Registers the entry as the holder of its address, unless a newer incarnation holds the
    /// address.
    void claim_address(backend_entry& it);
    void release_address(const backend_entry& it);

    /// Drops probe failures that are older than the heartbeat `sequence`.
    static void clear_probe_failures(backend_entry& it, std::uint64_t sequence);

    directory_settings settings_;
    std::string own_domain_;
    std::map<std::string, backend_entry, std::less<>> entries_;
    tombstone_map tombstones_;
    std::map<std::string, known_start, std::less<>> newest_starts_;   ///< by name
    std::map<std::string, std::string, std::less<>> address_holders_; ///< incarnation by address
    std::vector<std::string> superseded_;
    std::vector<std::string> evacuated_domains_;
};

} // namespace hickorypost::gateway
