#pragma once

#include "hickorypost/replog/state_machine.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::gateway {

enum class rollout_phase : std::uint8_t { running, completed, rolled_back };

/// A roll-out: a service's traffic moves to a new version of its backend servers.
struct rollout_status {
    std::string service;
    std::string target;            ///< the new version
    std::uint64_t duration_ms = 0; ///< within which a good version has all traffic
    rollout_phase phase = rollout_phase::running;
    std::uint32_t share_permille = 0; ///< of the service's requests that go to the new version
    std::uint64_t elapsed_ms = 0;     ///< since the order, as the leader last wrote it
    std::string reason;               ///< of the last step
};

/// Which versions of a service serve, besides one on trial.
struct service_versions {
    std::vector<std::string> returned; ///< targets of roll-outs that did not complete, oldest first
    /// The version that was ready first, then that of the last completed roll-out. Empty: none yet.
    std::string incumbent;
};

/// What operators' orders have changed and was acknowledged: configuration, roll-outs, versions.
struct site_state {
    std::uint64_t config_version = 0;
    std::string config_packed;                        ///< byte for byte as it came, packed
    std::map<std::string, rollout_status> rollouts;   ///< by service
    std::uint64_t revision = 0;                       ///< rises with each change
    std::map<std::string, service_versions> versions; ///< by service
};

enum class control_kind : std::uint8_t { put_config, begin_rollout, step_rollout, set_incumbent };

/// The version that a service has before its first roll-out.
struct first_version {
    std::string service;
    std::string version;
};

/// A command of the replicated log.
struct control_command {
    control_kind kind = control_kind::put_config;
    std::uint64_t config_version = 0;
    std::string config_packed;
    rollout_status rollout;
    first_version incumbent;
};

/// Applies control commands. The highest configuration version wins, whatever the order of arrival:
/// operators race each other with equal numbers, and old changes arrive late.
class control_state final : public replog::state_machine {
public:
    /// The answer is always "ok": a change that came too late is acknowledged without effect.
    std::string apply(const replog::entry& command) override;
    /// `query`: an encoded `wire::site_query`. Gives the whole encoded `site_state`, or nothing if
    /// the asker has it already; an unreadable query gets the state.
    [[nodiscard]] std::string read(std::string_view query) const override;
    [[nodiscard]] std::string save() const override;
    void load(std::string_view state) override;

    [[nodiscard]] const site_state& state() const noexcept { return state_; }

private:
    bool put_config(control_command& command);
    bool begin_rollout(const rollout_status& order);
    bool step_rollout(const rollout_status& step);
    bool set_incumbent(const first_version& first);
    void note_returned(const rollout_status& ended);

    site_state state_;
};

} // namespace hickorypost::gateway
