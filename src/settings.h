#pragma once
/// Settings of a process: one INI file, checked whole before anything starts.

#include "hickorypost/base/result.h"
#include "hickorypost/base/time.h"
#include "hickorypost/gateway/decision_settings.h"
#include "hickorypost/net/connector.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost {

/// One fault in a settings file.
struct settings_fault {
    std::string section;
    std::string key;
    std::string expected;
};

struct settings_error {
    std::string path;
    std::vector<settings_fault> faults;
};

/// One line per fault: `path: [section] key: expected ...`.
std::string describe(const settings_error& error);

enum class setting_type : std::uint8_t {
    text,
    integer,
    number,
    choice,
    address,
    address_list,
    name_list,
    weight_list
};

/// A row of the settings table; docs/SETTINGS.md is printed from it.
struct setting_row {
    std::string_view section;
    std::string_view key;
    setting_type type;
    std::string_view fallback; ///< "" with `required`: no default
    bool required;
    std::string_view about;
    std::string_view choices = {}; ///< for `choice`: separated by |
    double low = 0;
    double high = 1e12;
};

const std::vector<setting_row>& settings_table();

/// A host that takes part in control: its node name and link address.
struct named_address {
    std::string name;
    net::peer_address address;
};

struct node_settings {
    std::string name;
    std::string failure_domain;
    bool log_json = false;
    std::string log_level = "info";
    std::string trace_file;
};

struct tls_settings {
    bool on = false;
    std::string certificate;
    std::string key;
    std::string authority;
};

struct control_settings {
    net::peer_address listen;
    net::peer_address http;
    std::string data;
    std::vector<named_address> hosts; ///< all control hosts, this one included; the first founds
    std::uint32_t ledger_groups = 2;
    std::string operator_key_sha256;
    millis election_min{400};
    millis election_max{800};
    millis heartbeat{100};
    std::uint64_t snapshot_every = 20'000;
    std::int64_t usage_window_ms = 900'000;
};

struct entry_settings {
    net::peer_address http;
    std::vector<net::peer_address> control;
    millis default_timeout{60'000};
    millis drain_limit{30'000};
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    std::size_t max_agents = 64;
    std::string routing_policy = "expected_time";
    std::string rating_url;
    double retry_ratio = 0.1;
};

struct agent_settings {
    net::peer_address listen;
    net::peer_address http;
    net::peer_address advertise; ///< that entries connect to; port 0: that of `listen`
    std::vector<net::peer_address> control;
    millis drain_limit{30'000};
    millis announce_silence{10'000};
};

/// A gateway host: callers' requests go straight to backend servers from it, and with a data folder
/// it may hold a replica of the control log.
struct gateway_settings {
    net::peer_address callers;
    net::peer_address ready;
    net::peer_address control;      ///< operators and heartbeats of backend servers
    net::peer_address metrics;      ///< port 0: none
    net::peer_address internal;     ///< links between gateway hosts; the same port on all
    std::string data;               ///< empty: this host has no disk
    std::vector<std::string> seeds; ///< IP addresses of hosts that may be asked for the others
    bool first_start = false;
    std::size_t tolerated_losses = 1;
    millis heartbeat{1200};
    millis drain{2000};
    millis grace{8000};
    millis config_apply{2000};
    double retry_ratio = 0.1;
    millis retry_window{10'000};
    double retry_slack = 0;
    millis session{10'000};
    /// Memory that the process may use, in bytes; 0: unknown.
    std::size_t memory_bytes = 0;
    double log_requests_per_second = 20;
    /// Shares of accounts while capacity is short; 1 for accounts that are not named.
    std::map<std::string, double> account_weights;
    gateway::decision_settings decisions;
};

struct settings {
    std::string path;
    node_settings node;
    tls_settings tls;
    millis lease{2000};
    std::optional<control_settings> control;
    std::optional<entry_settings> entry;
    std::optional<agent_settings> agent;
    std::optional<gateway_settings> gateway;
};

/// Reads and checks a file; fails with `settings_error` that names every fault.
result<settings> load_settings(const std::string& path);

/// The settings table as a Markdown page.
std::string settings_page();

} // namespace hickorypost
