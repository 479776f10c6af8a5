#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorypost::replog {

struct entry;

/// The deterministic state that a group replicates. The same entries in the same order must produce
/// the same state on every host: implementations read no clock and no random numbers, and take the
/// time only from `entry::wall_ms`.
class state_machine {
public:
    virtual ~state_machine() = default;
    /// Applies a committed command and returns the result for its proposer.
    virtual std::string apply(const entry& command) = 0;
    /// Answers a query from the current state.
    virtual std::string read(std::string_view query) const = 0;
    /// Serializes the state, for `load`.
    virtual std::string save() const = 0;
    /// Replaces the state by a saved state; an empty string stands for the initial state.
    virtual void load(std::string_view state) = 0;
};

} // namespace hickorypost::replog
