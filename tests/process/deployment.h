#pragma once

#include "http_client.h"

#include <csignal>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sys/types.h>

namespace hickorypost::testing {

/// Waits for a condition, at most so long that a loaded machine gets there; false if it does not.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::milliseconds{40'000});

/// Ports that were free a moment ago, each found by binding port 0.
std::vector<std::uint16_t> free_ports(std::size_t n);

/// A child process with its output in a file.
class child {
public:
    child(std::vector<std::string> command, const std::filesystem::path& output);
    ~child();
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    void signal(int number) const;
    /// Waits for its end; its exit code, or nothing within the limit.
    std::optional<int> wait(std::chrono::milliseconds limit);
    void kill();
    /// Descriptors that the process holds open.
    [[nodiscard]] std::size_t open_descriptors() const;

private:
    pid_t pid_ = -1;
    std::optional<int> code_;
};

/// What a relay does to the connections that it forwards, open and new ones.
enum class relay_fault : std::uint8_t {
    none,
    delay,    ///< each turn takes 60 ms longer
    one_way,  ///< nothing comes back any more; what is sent arrives
    silence,  ///< nothing arrives, and nothing is closed
    reset_all ///< open connections are closed once; new ones work
};

/// Forwards connections to a port; can lose track of those that are open while new ones work.
class relay {
public:
    relay(std::uint16_t listen, std::uint16_t to);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// From now on the open connections deliver nothing more, without being closed.
    void lose_open_connections();
    /// From now on; what was held back is delivered when the fault ends.
    void set_fault(relay_fault fault);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Three control hosts, two entries, two agents with a stand-in engine each, as real processes.
class deployment {
public:
    explicit deployment(bool relayed_agents = false);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts all, submits the records, and waits until both entries are ready.
    bool start();
    void start_node(const std::string& name);
    child& node(const std::string& name) { return *children_.at(name); }
    void stop(const std::string& name) { children_.erase(name); }

    http_reply chat(std::size_t entry, const std::string& model, const std::string& key = {},
                    bool non_idempotent = false);
    std::unique_ptr<http_client> begin_chat(std::size_t entry, const std::string& model,
                                            unsigned tokens, const std::string& key = {},
                                            bool non_idempotent = false);
    /// Runs the command line; its exit code and output.
    std::pair<int, std::string> command(std::vector<std::string> args);
    std::unique_ptr<child> start_command(std::vector<std::string> args, const std::string& name);
    void write_file(const std::string& name, const std::string& text);
    [[nodiscard]] std::string path(const std::string& name) const { return (run_ / name).string(); }

    /// Name of the control host that leads the group, empty if none does.
    std::string leader(std::size_t group);
    /// Every control host runs, votes in every group, and has all that the group's leader has.
    bool control_whole();
    /// Times that engines started work on a request; empty key: on a version.
    [[nodiscard]] std::size_t starts_of(const std::string& key) const;
    [[nodiscard]] std::size_t starts_on_version(const std::string& version) const;
    std::size_t reported_requests();
    [[nodiscard]] std::uint16_t entry_port(std::size_t entry) const { return entry_ports_[entry]; }
    [[nodiscard]] std::uint16_t engine_control_port(std::size_t engine) const;
    void lose_agent_connections();
    void wipe_data(const std::string& control) const;

private:
    void write_settings(bool relayed_agents);
    [[nodiscard]] std::vector<std::string> command_for(const std::string& name) const;
    [[nodiscard]] std::vector<std::string> caller_headers(const std::string& key,
                                                          bool non_idempotent) const;

    std::filesystem::path run_;
    std::string build_;
    std::vector<std::uint16_t> control_http_;
    std::vector<std::uint16_t> entry_ports_;
    std::vector<std::uint16_t> agent_http_;
    std::vector<std::uint16_t> engine_ports_;
    std::vector<std::unique_ptr<relay>> relays_;
    std::map<std::string, std::unique_ptr<child>> children_;
};

} // namespace hickorypost::testing
