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

/// One incarnation of a backend server as it told about itself. Sent between processes: fields are
/// only ever appended.
struct backend_record {
    std::string id; ///< of this start, see `incarnation_id`
    std::string service;
    std::string address; ///< IP:PORT
    std::string failure_domain;
    std::string version; ///< of its software
    std::uint32_t slots = 1;
    backend_state state = backend_state::ready;
    std::uint64_t cold_ms = 0;  ///< how much longer it is slow after its start
    std::uint64_t sequence = 0; ///< rises with each heartbeat of one incarnation
    std::string name;           ///< what it goes by at its address; may outlive a restart
    std::uint64_t born = 0;     ///< Unix milliseconds of its start; 0: it does not say
};

/// Identity of one start of a backend server. One that says when it began may go by the same name
/// after a restart, and then knows nothing of before.
std::string incarnation_id(std::string_view name, std::uint64_t born);

struct directory_settings {
    /// Silence after which a backend server is only used where no other is left. Several
    /// heartbeats: one may come seconds late while its sender serves.
    millis stale_after{6000};
    /// Silence after which it is forgotten.
    millis forget_after{60'000};
    /// How long the id of one that left is remembered, so that a heartbeat held up on its way
    /// cannot bring it back.
    millis tombstone{600'000};
    /// Heartbeats after which an incarnation that another replaced at its address counts as alive
    /// again. One may be a heartbeat held up on its way, a second is not.
    std::uint32_t beats_to_return = 2;
    /// The same for one whose leaving was told by its name alone: that may have been a late word of
    /// the start before.
    std::uint32_t beats_to_deny_leaving = 2;
    /// Failure domains in which a backend server must have failed a probe before processes of other
    /// domains avoid it too. One alone may be cut off from it.
    std::size_t min_failed_domains = 2;
};

/// A backend server in the directory.
struct backend_entry {
    backend_record record;
    instant heard;         ///< last heartbeat
    bool replaced = false; ///< another incarnation has registered at its address since
    std::uint32_t beats_since_replaced = 0;
    bool silent = false; ///< as `expire` last saw it
    /// Failure domains in which it has failed a liveness probe since its newest heartbeat.
    std::set<std::string, std::less<>> failed_domains;
    std::uint64_t failed_at_sequence = 0; ///< sequence of its newest heartbeat at that time
};

/// The backend servers of all services, by incarnation, sequence and address. Soft state that each
/// process fills from heartbeats, its own and those that other processes pass on. Sans I/O.
///
/// News comes late and in any order, by several ways. Of one name only the newest start counts: a
/// heartbeat of an older one changes nothing, a newer one replaces it at once with all that was
/// believed of it.
class backend_directory {
public:
    explicit backend_directory(directory_settings settings, std::string own_domain = {})
        : settings_{settings}, own_domain_{std::move(own_domain)}
    {
    }

    enum class change : std::uint8_t { none, touched, changed };
    /// Takes a heartbeat; one that is older than what is known changes nothing.
    change take(const backend_record& record, instant now);
    /// Takes a heartbeat without its content: the incarnation lives. True if that is news.
    bool touch(std::string_view id, std::uint64_t sequence, instant now);
    /// It has failed a liveness probe in that failure domain, when `sequence` was its newest known
    /// heartbeat. It counts as silent until the next. Returns true if that is news.
    bool take_probe_failure(std::string_view id, std::uint64_t sequence, std::string_view domain);
    /// The incarnation has left, or was seen not to be at its address any more.
    bool remove(std::string_view id, instant now);
    /// Incarnations that a newer start under their name has replaced since the last call. Nothing
    /// runs there any more, whatever their connections look like.
    std::vector<std::string> take_superseded();
    /// The newest start known under a name; null if none is.
    [[nodiscard]] const backend_entry* find_named(std::string_view name) const;
    /// One that has fallen silent, or was heard of again.
    struct hearing {
        std::string id;
        bool silent = false;
    };
    /// Forgets what is long silent. Gives those whose silence began or ended since the last call.
    std::vector<hearing> expire(instant now);
    [[nodiscard]] std::size_t silent() const noexcept;

    [[nodiscard]] const backend_entry* find(std::string_view id) const;
    /// Incarnations that may get new work, those heard of recently first choice.
    [[nodiscard]] std::vector<const backend_entry*> usable(std::string_view service,
                                                           instant now) const;
    [[nodiscard]] bool stale(const backend_entry& it, instant now) const
    {
        return now > it.heard + settings_.stale_after || probe_failed(it);
    }
    /// Whether it has failed probes in enough failure domains since its newest heartbeat.
    [[nodiscard]] bool probe_failed(const backend_entry& it) const
    {
        return it.failed_domains.contains(own_domain_) ||
               it.failed_domains.size() >= settings_.min_failed_domains;
    }
    /// All records, tombstones included, for another process's first fill.
    [[nodiscard]] std::vector<backend_record> all() const;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct start_mark {
        std::string id;
        std::uint64_t born = 0;
        instant seen;
    };
    struct tombstone {
        instant at;
        /// Not empty: the leaving was told by this name alone, so that heartbeats can refute it.
        std::string told_name;
        std::uint64_t sequence = 0; ///< the newest heartbeat seen
        std::uint32_t beats = 0;    ///< newer heartbeats since
    };

    [[nodiscard]] bool has_left(const backend_record& record);
    /// False: a newer start of that name is known.
    bool take_start(const backend_record& record, instant now);
    change take_leaving(const backend_record& record, instant now);
    bool bury(std::string_view id, tombstone how);
    void claim_address(backend_entry& it);
    void release_address(const backend_entry& it);

    /// A heartbeat of that sequence has arrived: probes that failed before it no longer count.
    static void clear_probe_failures(backend_entry& it, std::uint64_t sequence);

    directory_settings settings_;
    std::string own_domain_;
    std::map<std::string, backend_entry, std::less<>> entries_;
    std::map<std::string, tombstone, std::less<>> tombstones_;
    std::map<std::string, start_mark, std::less<>> newest_;      ///< by name
    std::map<std::string, std::string, std::less<>> at_address_; ///< address to incarnation
    std::vector<std::string> superseded_;
};

} // namespace hickorypost::gateway
