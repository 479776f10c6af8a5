#pragma once

#include "hickorypost/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorypost::gateway {

enum class backend_state : std::uint8_t { ready, draining, gone };

/// One incarnation of a backend server as it told about itself. Sent between processes: fields are
/// only ever appended.
struct backend_record {
    std::string id; ///< drawn anew at each start of the backend server
    std::string service;
    std::string address; ///< IP:PORT
    std::string failure_domain;
    std::string version; ///< of its software
    std::uint32_t slots = 1;
    backend_state state = backend_state::ready;
    std::uint64_t cold_ms = 0;  ///< how much longer it is slow after its start
    std::uint64_t sequence = 0; ///< rises with each heartbeat
};

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
};

/// A backend server in the directory.
struct backend_entry {
    backend_record record;
    instant heard;         ///< last heartbeat, or other sign of life
    bool replaced = false; ///< another incarnation has registered at its address since
    std::uint32_t beats_since_replaced = 0;
    bool silent = false; ///< as `expire` last saw it
};

/// The backend servers of all services, by incarnation, sequence and address. Soft state that each
/// process fills from heartbeats, its own and those that other processes pass on. Sans I/O.
class backend_directory {
public:
    explicit backend_directory(directory_settings settings) : settings_{settings} {}

    enum class change : std::uint8_t { none, touched, changed };
    /// Takes a heartbeat; one that is older than what is known changes nothing.
    change take(const backend_record& record, instant now);
    /// Takes a heartbeat without its content: the incarnation lives. True if that is news.
    bool touch(std::string_view id, std::uint64_t sequence, instant now);
    /// The incarnation has left, or was seen not to be at its address any more.
    bool remove(std::string_view id, instant now);
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
        return now > it.heard + settings_.stale_after;
    }
    /// All records, tombstones included, for another process's first fill.
    [[nodiscard]] std::vector<backend_record> all() const;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    void claim_address(backend_entry& it);

    directory_settings settings_;
    std::map<std::string, backend_entry, std::less<>> entries_;
    std::map<std::string, instant, std::less<>> tombstones_;
    std::map<std::string, std::string, std::less<>> at_address_; ///< address to incarnation
};

} // namespace hickorypost::gateway
