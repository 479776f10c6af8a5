#include "cli/log_history.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

namespace hickorypost {

namespace {

struct parsed_line {
    log_line line;
    std::string message;
    std::string request;
    std::string backend;
    std::string identity;
    std::vector<std::string> crashing_parts;
    std::vector<std::string> parts;       ///< of the prompt, those that other requests may share
    std::vector<std::string> backing_off; ///< backend servers
    std::int64_t wait_ms = 0;             ///< of a `backend_backoff` line
};

/// Where one process's clock was against the reference, at one of its lines.
struct clock_anchor {
    std::size_t at = 0;
    std::int64_t offset_ms = 0;
};

constexpr std::int64_t millis_per_second = 1000;
/// First words of the log lines about the begin and the end of an evacuation.
constexpr std::string_view evacuation_prefix = "failure domain ";

std::optional<std::int64_t> parse_time(const std::string& text)
{
    std::tm it{};
    const char* const rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &it);
    if (rest == nullptr) {
        return std::nullopt;
    }
    const std::int64_t part = *rest == '.' ? std::strtol(rest + 1, nullptr, 10) : 0;
    return static_cast<std::int64_t>(timegm(&it)) * millis_per_second + part;
}

/// Returns the ids in a list of ID or ID:MS.
std::vector<std::string> parse_ids(std::string_view text)
{
    std::vector<std::string> out;
    while (!text.empty()) {
        const auto entry = text.substr(0, text.find(','));
        text.remove_prefix(std::min(entry.size() + 1, text.size()));
        out.emplace_back(entry.substr(0, entry.rfind(':')));
    }
    return out;
}

std::optional<parsed_line> parse_line(const std::string& text)
{
    const auto at = text.find('{');
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto value = nlohmann::json::parse(text.substr(at), nullptr, false);
    if (!value.is_object() || !value.contains("time") || !value["time"].is_string()) {
        return std::nullopt;
    }
    const auto time = parse_time(value["time"].get<std::string>());
    if (!time) {
        return std::nullopt;
    }
    parsed_line out;
    out.line.written_ms = *time;
    for (const auto& [name, field] : value.items()) {
        const std::string shown = field.is_string() ? field.get<std::string>() : field.dump();
        if (name == "node") {
            out.line.node = shown;
        } else if (name == "event") {
            out.line.event = shown;
        } else if (name == "message") {
            out.message = shown;
        } else if (name == "request") {
            out.request = shown;
        } else if (name == "backend") {
            out.backend = shown;
        } else if (name == "identity") {
            out.identity = shown;
        } else if (name == "crashing_parts") {
            out.crashing_parts = parse_ids(shown);
        } else if (name == "parts") {
            out.parts = parse_ids(shown);
        } else if (name == "backing_off") {
            out.backing_off = parse_ids(shown);
        } else if (name == "wait_ms" && field.is_number_integer()) {
            out.wait_ms = field.get<std::int64_t>();
        }
        const bool has_column =
            name == "time" || name == "node" || name == "event" || name == "level";
        if (!has_column && !shown.empty()) {
            out.line.text.append(out.line.text.empty() ? "" : " ");
            out.line.text.append(name).append("=").append(shown);
        }
    }
    return out;
}

/// Says the same on all processes at about the same moment.
bool is_shared(const parsed_line& it)
{
    return it.message.starts_with("backend server ") || it.message.starts_with(evacuation_prefix) ||
           (it.message.starts_with("configuration ") &&
            it.message.find(" in force") != std::string::npos);
}

using by_node = std::map<std::string, std::vector<parsed_line>>;

std::map<std::string, std::int64_t> shared_times(const std::vector<parsed_line>& lines)
{
    std::map<std::string, std::int64_t> out;
    for (const auto& it : lines) {
        if (is_shared(it)) {
            out.try_emplace(it.message, it.line.written_ms);
        }
    }
    return out;
}

void correct_clock(std::vector<parsed_line>& lines,
                   const std::map<std::string, std::int64_t>& reference)
{
    std::vector<clock_anchor> anchors;
    for (std::size_t n = 0; n < lines.size(); ++n) {
        const auto same = reference.find(lines[n].message);
        if (is_shared(lines[n]) && same != reference.end()) {
            anchors.push_back({n, lines[n].line.written_ms - same->second});
        }
    }
    for (std::size_t n = 0; n < lines.size(); ++n) {
        const auto nearest =
            std::min_element(anchors.begin(), anchors.end(), [n](const auto& a, const auto& b) {
                const auto distance = [n](std::size_t at) { return at > n ? at - n : n - at; };
                return distance(a.at) < distance(b.at);
            });
        const std::int64_t offset = nearest == anchors.end() ? 0 : nearest->offset_ms;
        lines[n].line.corrected_ms = lines[n].line.written_ms - offset;
    }
}

bool mentions_config(const parsed_line& it, const std::string& version)
{
    return !version.empty() && it.message.starts_with("configuration " + version + " ");
}

/// What the lines of a request say that it has in common with others.
struct request_traits {
    std::set<std::string> identities;
    std::set<std::string> crashing_parts; ///< for which it was refused
};

request_traits traits_of(const by_node& nodes, const std::string& request)
{
    request_traits out;
    for (const auto& [node, lines] : nodes) {
        for (const auto& it : lines) {
            if (request.empty() || it.request != request) {
                continue;
            }
            if (!it.identity.empty()) {
                out.identities.insert(it.identity);
            }
            out.crashing_parts.insert(it.crashing_parts.begin(), it.crashing_parts.end());
        }
    }
    return out;
}

/// Whether a line is about a crash for which a request with these traits may be refused.
bool is_about_crash(const parsed_line& it, const request_traits& traits)
{
    const auto is_crashing = [&traits](const std::string& part) {
        return traits.crashing_parts.contains(part);
    };
    if (it.line.event == "suspect_refused") {
        return std::any_of(it.crashing_parts.begin(), it.crashing_parts.end(), is_crashing);
    }
    return it.line.event == "request_crashed" &&
           (traits.identities.contains(it.identity) ||
            std::any_of(it.parts.begin(), it.parts.end(), is_crashing));
}

/// Lines that the query asks for, and those on the backend servers around them.
std::vector<log_line> select(const by_node& nodes, const history_query& query)
{
    const auto traits = traits_of(nodes, query.request);
    const auto is_asked_for = [&](const parsed_line& it) {
        const bool of_request = !query.request.empty() && it.request == query.request;
        return of_request || is_about_crash(it, traits) ||
               mentions_config(it, query.config_version);
    };
    std::set<std::string> backends;
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    std::int64_t last = std::numeric_limits<std::int64_t>::min();
    for (const auto& [node, lines] : nodes) {
        for (const auto& it : lines) {
            if (!is_asked_for(it)) {
                continue;
            }
            first = std::min(first, it.line.corrected_ms);
            last = std::max(last, it.line.corrected_ms);
            if (!query.request.empty() && it.request == query.request) {
                backends.insert(it.backing_off.begin(), it.backing_off.end());
                if (!it.backend.empty()) {
                    backends.insert(it.backend);
                }
            }
        }
    }
    const auto is_around = [&](const parsed_line& it) {
        const bool on_backend =
            std::any_of(backends.begin(), backends.end(), [&](const auto& backend) {
                return it.message.starts_with("backend server " + backend + " ");
            });
        const bool on_limit =
            (it.line.event.starts_with("backend_limit") || it.line.event == "backend_backoff") &&
            backends.contains(it.backend);
        const bool on_domain = it.message.starts_with(evacuation_prefix);
        // A backoff that was asked for earlier may still have been in force.
        return (on_backend || on_limit || on_domain) &&
               it.line.corrected_ms + it.wait_ms >= first - query.around_ms &&
               it.line.corrected_ms <= last + query.around_ms;
    };
    std::vector<log_line> out;
    if (first > last) {
        return out;
    }
    for (const auto& [node, lines] : nodes) {
        for (const auto& it : lines) {
            if (is_asked_for(it) || is_around(it)) {
                out.push_back(it.line);
            }
        }
    }
    return out;
}

} // namespace

log_history read_history(const std::vector<std::string>& files, const history_query& query)
{
    log_history out;
    by_node nodes;
    for (const auto& file : files) {
        std::stringstream in{file};
        for (std::string text; std::getline(in, text);) {
            auto it = parse_line(text);
            if (it) {
                nodes[it->line.node].push_back(std::move(*it));
            } else {
                ++out.unreadable;
            }
        }
    }
    const auto reference =
        std::max_element(nodes.begin(), nodes.end(), [](const auto& a, const auto& b) {
            return a.second.size() < b.second.size();
        });
    if (reference == nodes.end()) {
        return out;
    }
    const auto times = shared_times(reference->second);
    for (auto& [node, lines] : nodes) {
        correct_clock(lines, times);
    }
    out.lines = select(nodes, query);
    std::stable_sort(out.lines.begin(), out.lines.end(),
                     [](const auto& a, const auto& b) { return a.corrected_ms < b.corrected_ms; });
    return out;
}

} // namespace hickorypost
