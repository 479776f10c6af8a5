#pragma once
/// Identifiers shared by all modules.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hickorypost {

/// Name of a process of the system. The configuration must make it unique.
using node_id = std::string;
/// Random number drawn at each start of a process; distinguishes a restarted process from its
/// previous run.
using incarnation = std::uint64_t;
/// Identifies one attempt to run a request on one backend server; drawn at random by the entry.
using attempt_id = std::uint64_t;

/// Identifies a request by its client account and idempotency key.
struct request_key {
    std::string account;
    std::string request;

    friend auto operator<=>(const request_key&, const request_key&) = default;
    friend bool operator==(const request_key&, const request_key&) = default;
};

/// A version of a model.
struct model_version {
    std::string model;
    std::string version;

    friend auto operator<=>(const model_version&, const model_version&) = default;
    friend bool operator==(const model_version&, const model_version&) = default;
};

/// 64-bit XXH3 of the bytes; stable across hosts and releases.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// Hash that assigns a request to a ledger group; stable across hosts and releases.
std::uint64_t hash_key(const request_key& key) noexcept;

/// Returns 32 random lower-case hex digits (128 bits), for request and trace ids.
std::string random_hex(const std::function<std::uint64_t()>& random);

struct request_key_hash {
    std::size_t operator()(const request_key& key) const noexcept { return hash_key(key); }
};

struct model_version_hash {
    std::size_t operator()(const model_version& mv) const noexcept
    {
        return hash_bytes(mv.version, hash_bytes(mv.model));
    }
};

} // namespace hickorypost
