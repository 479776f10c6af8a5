#include "settings.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <glib.h>
#include <memory>
#include <sstream>

namespace hickorypost {

namespace {

struct key_file_free {
    void operator()(GKeyFile* file) const noexcept { g_key_file_free(file); }
};

struct gfree {
    void operator()(void* memory) const noexcept { g_free(memory); }
};

using key_file_ptr = std::unique_ptr<GKeyFile, key_file_free>;
using gchar_ptr = std::unique_ptr<gchar, gfree>;

std::vector<std::string> split(std::string_view text, char at)
{
    std::vector<std::string> out;
    std::stringstream in{std::string{text}};
    for (std::string it; std::getline(in, it, at);) {
        const auto first = it.find_first_not_of(" \t");
        const auto last = it.find_last_not_of(" \t");
        if (first != std::string::npos) {
            out.push_back(it.substr(first, last - first + 1));
        }
    }
    return out;
}

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t n = 0; n <= b.size(); ++n) {
        row[n] = n;
    }
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[b.size()];
}

std::optional<net::peer_address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    net::peer_address out;
    out.host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
    if (ec != std::errc{} || end != digits.data() + digits.size() ||
        g_hostname_is_ip_address(out.host.c_str()) == FALSE) {
        return std::nullopt;
    }
    return out;
}

/// Typed access to a key file, gathering faults.
class settings_reader {
public:
    settings_reader(GKeyFile* file, std::vector<settings_fault>& faults)
        : file_{file}, faults_{faults}
    {
    }

    [[nodiscard]] bool has(const char* section) const
    {
        return g_key_file_has_group(file_, section) != FALSE;
    }

    std::string text(const char* section, const char* key)
    {
        const setting_row& row = row_of(section, key);
        const gchar_ptr raw{g_key_file_get_string(file_, section, key, nullptr)};
        if (raw == nullptr) {
            if (row.required) {
                fault(section, key, "this key, which is missing");
            }
            return std::string{row.fallback};
        }
        std::string value{raw.get()};
        if (row.required && value.empty()) {
            fault(section, key, "a value");
        }
        if (row.type == setting_type::choice) {
            const auto choices = split(row.choices, '|');
            if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
                fault(section, key, "one of " + std::string{row.choices});
            }
        }
        return value;
    }

    double number(const char* section, const char* key)
    {
        const setting_row& row = row_of(section, key);
        const std::string value = text(section, key);
        char* end = nullptr;
        const double out = std::strtod(value.c_str(), &end);
        const bool whole = row.type != setting_type::integer ||
                           value.find_first_not_of("0123456789") == std::string::npos;
        if (value.empty() || *end != '\0' || !whole || out < row.low || out > row.high) {
            std::ostringstream expected;
            expected << (row.type == setting_type::integer ? "a whole number from "
                                                           : "a number from ")
                     << row.low << " to " << row.high;
            fault(section, key, expected.str());
            return std::strtod(std::string{row.fallback}.c_str(), nullptr);
        }
        return out;
    }

    template <class T>
    T integer(const char* section, const char* key)
    {
        return static_cast<T>(number(section, key));
    }

    millis duration(const char* section, const char* key)
    {
        return millis{integer<std::int64_t>(section, key)};
    }

    net::peer_address address(const char* section, const char* key)
    {
        const std::string value = text(section, key);
        const auto out = parse_address(value);
        if (!out && !value.empty()) {
            fault(section, key, "IP:PORT");
        }
        return out.value_or(net::peer_address{});
    }

    std::vector<named_address> addresses(const char* section, const char* key, bool named)
    {
        std::vector<named_address> out;
        for (const auto& it : split(text(section, key), ',')) {
            const auto equals = it.find('=');
            const bool has_name = equals != std::string::npos;
            const auto address = parse_address(has_name ? std::string_view{it}.substr(equals + 1)
                                                        : std::string_view{it});
            if (!address || has_name != named) {
                fault(section, key,
                      named ? "NAME=IP:PORT, separated by commas" : "IP:PORT, separated by commas");
                return out;
            }
            out.push_back({has_name ? it.substr(0, equals) : std::string{}, *address});
        }
        return out;
    }

    std::vector<net::peer_address> plain_addresses(const char* section, const char* key)
    {
        std::vector<net::peer_address> out;
        for (auto& it : addresses(section, key, false)) {
            out.push_back(std::move(it.address));
        }
        return out;
    }

    std::map<std::string, double> weights(const char* section, const char* key)
    {
        const setting_row& row = row_of(section, key);
        std::map<std::string, double> out;
        for (const auto& it : split(text(section, key), ',')) {
            const auto colon = it.rfind(':');
            const std::string name = it.substr(0, colon);
            const std::string value = colon == std::string::npos ? "" : it.substr(colon + 1);
            char* end = nullptr;
            const double weight = std::strtod(value.c_str(), &end);
            // The comparison also excludes NaN.
            const bool in_range = weight >= row.low && weight <= row.high;
            if (name.empty() || name.back() == ' ' || value.empty() || *end != '\0' || !in_range ||
                !out.emplace(name, weight).second) {
                std::ostringstream expected;
                expected << "NAME:WEIGHT, separated by commas, each name once, with weights from "
                         << row.low << " to " << row.high << ", not \"" << it << "\"";
                fault(section, key, expected.str());
            }
        }
        return out;
    }

    void fault(std::string section, std::string key, std::string expected)
    {
        const bool known = std::any_of(faults_.begin(), faults_.end(), [&](const auto& it) {
            return it.section == section && it.key == key;
        });
        if (!known) {
            faults_.push_back({std::move(section), std::move(key), std::move(expected)});
        }
    }

private:
    static const setting_row& row_of(std::string_view section, std::string_view key)
    {
        for (const auto& it : settings_table()) {
            if (it.section == section && it.key == key) {
                return it;
            }
        }
        std::abort(); // a key that the code reads is missing from the table
    }

    GKeyFile* file_;
    std::vector<settings_fault>& faults_;
};

std::string nearest(std::string_view word, const std::vector<std::string_view>& known)
{
    std::string_view best = known.front();
    for (const auto it : known) {
        if (edit_distance(word, it) < edit_distance(word, best)) {
            best = it;
        }
    }
    return std::string{best};
}

void refuse_unknown_keys(GKeyFile* file, settings_reader& in)
{
    std::vector<std::string_view> sections;
    for (const auto& it : settings_table()) {
        if (sections.empty() || sections.back() != it.section) {
            sections.push_back(it.section);
        }
    }
    gsize n_groups = 0;
    gchar** groups = g_key_file_get_groups(file, &n_groups);
    for (gsize g = 0; g < n_groups; ++g) {
        const std::string section{groups[g]};
        if (std::find(sections.begin(), sections.end(), section) == sections.end()) {
            in.fault(section, "", "a known section; nearest: " + nearest(section, sections));
            continue;
        }
        std::vector<std::string_view> keys;
        for (const auto& it : settings_table()) {
            if (it.section == section) {
                keys.push_back(it.key);
            }
        }
        gsize n_keys = 0;
        gchar** names = g_key_file_get_keys(file, groups[g], &n_keys, nullptr);
        for (gsize k = 0; k < n_keys; ++k) {
            const std::string key{names[k]};
            if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
                in.fault(section, key, "a known key; nearest: " + nearest(key, keys));
            }
        }
        g_strfreev(names);
    }
    g_strfreev(groups);
}

control_settings read_control(settings_reader& in, const std::string& node)
{
    control_settings out;
    out.listen = in.address("control", "listen");
    out.http = in.address("control", "http");
    out.data = in.text("control", "data");
    out.hosts = in.addresses("control", "hosts", true);
    out.ledger_groups = in.integer<std::uint32_t>("control", "ledger_groups");
    out.operator_key_sha256 = in.text("control", "operator_key_sha256");
    out.heartbeat = in.duration("control", "heartbeat_ms");
    out.election_min = in.duration("control", "election_min_ms");
    out.election_max = in.duration("control", "election_max_ms");
    out.snapshot_every = in.integer<std::uint64_t>("control", "snapshot_every");
    out.usage_window_ms = in.integer<std::int64_t>("control", "usage_window_ms");
    const bool listed = std::any_of(out.hosts.begin(), out.hosts.end(),
                                    [&](const auto& it) { return it.name == node; });
    if (!out.hosts.empty() && !listed) {
        in.fault("control", "hosts", "this node's name among the hosts");
    }
    if (out.election_max < out.election_min) {
        in.fault("control", "election_max_ms", "at least election_min_ms");
    }
    if (out.heartbeat * 2 > out.election_min) {
        in.fault("control", "heartbeat_ms", "at most half of election_min_ms");
    }
    return out;
}

entry_settings read_entry(settings_reader& in)
{
    entry_settings out;
    out.http = in.address("entry", "http");
    out.control = in.plain_addresses("entry", "control");
    out.default_timeout = in.duration("entry", "default_timeout_ms");
    out.drain_limit = in.duration("entry", "drain_limit_ms");
    out.max_body_bytes = in.integer<std::size_t>("entry", "max_body_bytes");
    out.max_agents = in.integer<std::size_t>("entry", "max_agents");
    out.routing_policy = in.text("entry", "routing_policy");
    out.rating_url = in.text("entry", "rating_url");
    out.retry_ratio = in.number("entry", "retry_ratio");
    return out;
}

agent_settings read_agent(settings_reader& in)
{
    agent_settings out;
    out.listen = in.address("agent", "listen");
    out.http = in.address("agent", "http");
    out.advertise = in.address("agent", "advertise");
    if (out.advertise.host.empty()) {
        out.advertise = {out.listen.host, 0};
    }
    out.control = in.plain_addresses("agent", "control");
    out.drain_limit = in.duration("agent", "drain_limit_ms");
    out.announce_silence = in.duration("agent", "announce_silence_ms");
    return out;
}

std::vector<std::string> hosts_of(const std::vector<net::peer_address>& addresses)
{
    std::vector<std::string> out;
    out.reserve(addresses.size());
    for (const auto& it : addresses) {
        out.push_back(it.host);
    }
    return out;
}

gateway_settings read_gateway(settings_reader& in)
{
    constexpr double millis_per_second = 1000;
    const auto seconds = [&](const char* key) {
        return millis{static_cast<std::int64_t>(in.number("gateway", key) * millis_per_second)};
    };
    gateway_settings out;
    out.callers = in.address("gateway", "callers");
    out.ready = in.address("gateway", "ready");
    out.control = in.address("gateway", "control");
    out.metrics = in.address("gateway", "metrics");
    out.internal = in.address("gateway", "internal");
    out.data = in.text("gateway", "data");
    out.seeds = hosts_of(in.plain_addresses("gateway", "seeds"));
    out.first_start = in.text("gateway", "first_start") == "true";
    out.tolerated_losses = in.integer<std::size_t>("gateway", "tolerated_losses");
    out.heartbeat = in.duration("gateway", "heartbeat_ms");
    out.drain = in.duration("gateway", "drain_ms");
    out.grace = seconds("grace_s");
    out.config_apply = in.duration("gateway", "config_apply_ms");
    out.retry_ratio = in.number("gateway", "retry_ratio");
    out.retry_window = seconds("retry_window_s");
    out.retry_slack = in.number("gateway", "retry_slack");
    out.session = seconds("session_s");
    constexpr std::size_t megabyte = 1'000'000;
    out.memory_bytes = in.integer<std::size_t>("gateway", "memory_mb") * megabyte;
    out.log_requests_per_second = in.number("gateway", "log_requests_per_second");
    out.account_weights = in.weights("gateway", "account_weights");
    out.decisions.exchange.admission = in.text("gateway", "admission") == "on";
    for (const auto& name : split(in.text("gateway", "switched_off"), ',')) {
        if (const auto* const it = gateway::find_mechanism(name)) {
            it->switch_off(out.decisions);
        } else {
            in.fault("gateway", "switched_off",
                     "names of mechanisms, separated by commas, not \"" + name + "\"");
        }
    }
    return out;
}

} // namespace

std::string describe(const settings_error& error)
{
    std::string out;
    for (const auto& it : error.faults) {
        out += out.empty() ? "" : "\n";
        out += error.path + ": [" + it.section + "]" + (it.key.empty() ? "" : " " + it.key) +
               ": expected " + it.expected;
    }
    return out;
}

result<settings> load_settings(const std::string& path)
{
    const key_file_ptr file{g_key_file_new()};
    GError* raw = nullptr;
    if (g_key_file_load_from_file(file.get(), path.c_str(), G_KEY_FILE_NONE, &raw) == FALSE) {
        const std::string why{raw->message};
        g_error_free(raw);
        return leaf::new_error(
            settings_error{path, {{"", "", "a readable INI file (" + why + ")"}}});
    }
    std::vector<settings_fault> faults;
    settings_reader in{file.get(), faults};
    settings out;
    out.path = path;
    out.node.name = in.text("node", "name");
    out.node.failure_domain = in.text("node", "failure_domain");
    out.node.log_json = in.text("node", "log_form") == "json";
    out.node.log_level = in.text("node", "log_level");
    out.node.trace_file = in.text("node", "trace_file");
    out.lease = in.duration("node", "lease_ms");
    out.tls.on = in.text("tls", "mode") == "on";
    out.tls.certificate = in.text("tls", "certificate");
    out.tls.key = in.text("tls", "key");
    out.tls.authority = in.text("tls", "authority");
    if (out.tls.on &&
        (out.tls.certificate.empty() || out.tls.key.empty() || out.tls.authority.empty())) {
        in.fault("tls", "mode", "certificate, key and authority beside mode = on");
    }
    if (in.has("control")) {
        out.control = read_control(in, out.node.name);
    }
    if (in.has("entry")) {
        out.entry = read_entry(in);
    }
    if (in.has("agent")) {
        out.agent = read_agent(in);
    }
    if (in.has("gateway")) {
        out.gateway = read_gateway(in);
    }
    refuse_unknown_keys(file.get(), in);
    if (!faults.empty()) {
        return leaf::new_error(settings_error{path, std::move(faults)});
    }
    return out;
}

std::string settings_page()
{
    std::string out =
        "# Settings\n\nOne INI file per process. Unknown keys are refused; a changed "
        "file takes effect at the next start.\n`hickorypost check FILE` reports every "
        "fault and runs nothing.\nThis page is printed by `hickorypost settings`.\n";
    std::string_view section;
    for (const auto& it : settings_table()) {
        if (it.section != section) {
            section = it.section;
            out += "\n## [" + std::string{section} +
                   "]\n\n| key | default | meaning |\n"
                   "| --- | --- | --- |\n";
        }
        std::string fallback = it.required ? "required" : "empty";
        if (!it.fallback.empty()) {
            fallback = "`";
            fallback.append(it.fallback).append("`");
        }
        std::string choices{it.choices};
        for (std::size_t at = choices.find('|'); at != std::string::npos; at = choices.find('|')) {
            choices.replace(at, 1, ", ");
        }
        std::string suffix;
        if (!choices.empty()) {
            suffix.append(" One of: ").append(choices).append(".");
        }
        out.append("| `").append(it.key).append("` | ").append(fallback).append(" | ");
        out.append(it.about).append(suffix).append(" |\n");
    }
    return out;
}

} // namespace hickorypost
