#pragma once

#include "hickorypost/replog/state_machine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::gateway {

enum class rollout_phase : std::uint8_t { running, completed, rolled_back };

/// State of a roll-out, which moves a service's traffic to a new version of its backend servers.
struct rollout_status {
    std::string service;
    std::string target;            ///< the new version of the backend servers
    std::uint64_t duration_ms = 0; ///< a good version has all traffic by its end
    rollout_phase phase = rollout_phase::running;
    std::uint32_t share_permille = 0; ///< thousandths of the service's requests that go to `target`
    std::uint64_t elapsed_ms = 0;     ///< since the roll-out began, as last written by the leader
    std::string reason;               ///< why the leader took the last step
};

/// The incumbent version of a service, and the versions that must get no requests.
struct service_versions {
    /// Targets of roll-outs that were rolled back or replaced while running, oldest first.
    std::vector<std::string> rolled_back_versions;
    /// The target of the last completed roll-out; before that, the version recorded by
    /// `set_incumbent`. Empty if neither exists.
    std::string incumbent;
    /// Revision of the state that the last effective `begin_rollout` led to; 0 if there is none.
    std::uint64_t ordered_at = 0;
};

/// Replicated state of a site: the operators' configuration, roll-outs and versions. The encoding
/// goes by position, so the order of the fields must not change.
struct site_state {
    std::uint64_t config_version = 0;
    std::string config_packed;                        ///< the operator's exact text, compressed
    std::map<std::string, rollout_status> rollouts;   ///< by service
    std::uint64_t revision = 0;                       ///< incremented with each change
    std::map<std::string, service_versions> versions; ///< by service
    std::vector<std::string> evacuated_domains;       ///< sorted; see `begin_evacuation`
    /// Revision of the state that the last change of `evacuated_domains` led to.
    std::uint64_t evacuations_ordered_at = 0;
};

enum class control_kind : std::uint8_t {
    put_config,
    begin_rollout,
    step_rollout,
    set_incumbent,
    begin_evacuation, ///< backend servers in a failure domain get no further requests
    end_evacuation,
};

/// The incumbent that a service has before its first roll-out.
struct initial_version {
    std::string service;
    std::string version;
};

/// An entry of the control log. Only the members that `kind` names are used.
struct control_command {
    control_kind kind = control_kind::put_config;
    std::uint64_t config_version = 0;
    std::string config_packed;
    rollout_status rollout;
    initial_version incumbent;
    std::string failure_domain; ///< of an evacuation
    /// For `begin_rollout`, `begin_evacuation` and `end_evacuation`: the command has no effect if
    /// its object was changed by a later order than this revision of the state contains. Unset by
    /// releases that do not check.
    std::optional<std::uint64_t> known_revision;
};

/// Results of `control_state::apply`.
inline constexpr std::string_view result_ok = "ok";
inline constexpr std::string_view result_superseded = "superseded";
inline constexpr std::string_view result_unreadable = "unreadable";

/// State machine of the control log. The highest configuration version wins whatever the order of
/// arrival, because operators may submit equal versions concurrently and old changes arrive late.
class control_state final : public replog::state_machine {
public:
    /// Returns `result_superseded` for a change that `known_revision` excludes, `result_unreadable`
    /// if the command cannot be decoded, and otherwise `result_ok`, also for a change that has no
    /// effect because it has been made before or came too late.
    std::string apply(const replog::entry& command) override;
    /// `query`: an encoded `wire::site_query`. Returns the encoded `site_state`, or an empty string
    /// if the caller's revision is current. A query that cannot be decoded gets the state.
    [[nodiscard]] std::string read(std::string_view query) const override;
    [[nodiscard]] std::string save() const override;
    void load(std::string_view state) override;

    [[nodiscard]] const site_state& state() const noexcept { return state_; }

private:
    bool put_config(control_command& command);
    bool begin_rollout(const rollout_status& status);
    /// Whether an order that the sender of `command` did not know of has changed the same object.
    [[nodiscard]] bool is_superseded(const control_command& command) const;
    /// Whether the state is already as the order asks, as after a retry of a command whose
    /// acknowledgement was lost.
    [[nodiscard]] bool is_fulfilled(const control_command& command) const;
    bool step_rollout(const rollout_status& step);
    bool set_incumbent(const initial_version& initial);
    bool begin_evacuation(const std::string& domain);
    bool end_evacuation(const std::string& domain);
    void add_rolled_back(const rollout_status& rollout);

    site_state state_;
};

} // namespace hickorypost::gateway
