#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorypost::replog {

struct entry;

/// The deterministic state that a group replicates. Equal entries in equal order give equal states
/// on every host: no clock, no randomness; an entry's `wall_ms` is the only time.
class state_machine {
public:
    virtual ~state_machine() = default;
    /// Applies a committed command and gives the answer for its proposer.
    virtual std::string apply(const entry& command) = 0;
    virtual std::string read(std::string_view query) const = 0;
    virtual std::string save() const = 0;
    /// Takes over a saved state; empty means the initial one.
    virtual void load(std::string_view state) = 0;
};

} // namespace hickorypost::replog
