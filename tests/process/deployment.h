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

/// Polls `condition` until it holds. Returns false after `limit`, whose default leaves time for a
/// heavily loaded machine.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::milliseconds{40'000});

/// Takes `n` ports from the block of this test program (see `port_block`).
std::vector<std::uint16_t> free_ports(std::size_t n);

/// A child process whose output is redirected to a file.
class child {
public:
    child(std::vector<std::string> command, const std::filesystem::path& output);
    ~child();
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    void signal(int number) const;
    /// Waits for the process to exit. Returns its exit code, or nullopt after `limit`.
    std::optional<int> wait(std::chrono::milliseconds limit);
    void kill();
    [[nodiscard]] pid_t pid() const noexcept { return pid_; }
    /// Whether the process has installed a handler for the signal.
    [[nodiscard]] bool catches(int number) const;
    /// Number of file descriptors that the process has open.
    [[nodiscard]] std::size_t open_descriptors() const;

private:
    pid_t pid_ = -1;
    std::optional<int> code_;
};

/// Fault that a relay injects into its connections, both open and new ones.
enum class relay_fault : std::uint8_t {
    none,
    delay,    ///< each polling round takes 60 ms longer
    one_way,  ///< forwards requests but no responses
    silence,  ///< forwards nothing in either direction and closes nothing
    reset_all ///< closes the open connections once; new ones work
};

/// A TCP proxy to a local port that injects connection faults.
class relay {
public:
    /// Listens on the port `listen`, or on a free one if it is 0.
    relay(std::uint16_t listen, std::uint16_t to);
    ~relay();
    [[nodiscard]] std::uint16_t port() const;
    /// Forwards new connections to the port `to`.
    void set_target(std::uint16_t to);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Stops forwarding on the connections that are open now, without closing them. New ones work.
    void stall_open_connections();
    /// Sets the fault until the next call; `reset_all` applies once. Data held back by a fault is
    /// delivered when it ends.
    void set_fault(relay_fault fault);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Three control hosts, two entries and two agents with a fake engine each, as real processes.
class deployment {
public:
    explicit deployment(bool relayed_agents = false);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts all processes, submits the records and waits until both entries are ready. Returns
    /// false on timeout.
    bool start();
    void start_node(const std::string& name);
    child& node(const std::string& name) { return *children_.at(name); }
    void stop(const std::string& name) { children_.erase(name); }

    http_reply chat(std::size_t entry, const std::string& model, const std::string& key = {},
                    bool non_idempotent = false);
    std::unique_ptr<http_client> begin_chat(std::size_t entry, const std::string& model,
                                            unsigned tokens, const std::string& key = {},
                                            bool non_idempotent = false);
    /// Runs the command-line client. Returns its exit code and output.
    std::pair<int, std::string> command(std::vector<std::string> args);
    std::unique_ptr<child> start_command(std::vector<std::string> args, const std::string& name);
    void write_file(const std::string& name, const std::string& text);
    [[nodiscard]] std::string path(const std::string& name) const { return (run_ / name).string(); }

    /// Name of the control host that leads replication group `group`; empty if it has no leader.
    std::string leader(std::size_t group);
    /// Whether every control host runs, votes in every group and has all entries of its leader's
    /// log.
    bool control_is_fully_replicated();
    /// Number of times that engines started a request with this idempotency key.
    [[nodiscard]] std::size_t starts_of(const std::string& key) const;
    /// Number of times that engines started a request on this version.
    [[nodiscard]] std::size_t starts_on_version(const std::string& version) const;
    std::size_t reported_requests();
    [[nodiscard]] std::uint16_t entry_port(std::size_t entry) const { return entry_ports_[entry]; }
    [[nodiscard]] std::uint16_t engine_control_port(std::size_t engine) const;
    void stall_agent_connections();
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
