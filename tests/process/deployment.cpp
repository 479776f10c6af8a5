#include "deployment.h"

#include "port_block.h"
#include "secret.h"

#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace hickorypost::testing {

namespace {

constexpr std::chrono::milliseconds poll_period{20};
const std::string caller_key = "test-caller-key";
const std::string operator_key = "test-operator-key";

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string text_of(const std::filesystem::path& path)
{
    std::ifstream in{path};
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_until(std::chrono::steady_clock::now() + poll_period); // bounded
    }
    return true;
}

std::vector<std::uint16_t> free_ports(std::size_t n)
{
    static port_block block;
    return block.take(n);
}

child::child(std::vector<std::string> command, const std::filesystem::path& output)
{
    std::vector<char*> args;
    args.reserve(command.size() + 1);
    for (auto& it : command) {
        args.push_back(it.data());
    }
    args.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawn(&pid_, args.front(), &actions, nullptr, args.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
}

child::~child()
{
    kill();
}

void child::signal(int number) const
{
    if (pid_ > 0 && !code_) {
        ::kill(pid_, number);
    }
}

std::optional<int> child::wait(std::chrono::milliseconds limit)
{
    eventually(
        [&] {
            int status = 0;
            if (!code_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
                code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            }
            return code_.has_value();
        },
        limit);
    return code_;
}

void child::kill()
{
    if (pid_ > 0 && !code_) {
        ::kill(pid_, SIGKILL);
        int status = 0;
        ::waitpid(pid_, &status, 0);
        code_ = 128 + SIGKILL;
    }
}

bool child::catches(int number) const
{
    constexpr std::string_view name = "SigCgt:";
    constexpr int hex = 16;
    std::ifstream in{"/proc/" + std::to_string(pid_) + "/status"};
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name)) {
            const auto mask = std::stoull(line.substr(name.size()), nullptr, hex);
            return (mask >> static_cast<unsigned>(number - 1) & 1U) != 0;
        }
    }
    return false;
}

std::size_t child::open_descriptors() const
{
    const std::filesystem::path folder = "/proc/" + std::to_string(pid_) + "/fd";
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator{folder},
                                                  std::filesystem::directory_iterator{}));
}

deployment::deployment(bool relayed_agents) : build_{HICKORYPOST_BUILD}
{
    std::string pattern = (std::filesystem::temp_directory_path() / "hickorypost-XXXXXX").string();
    run_ = ::mkdtemp(pattern.data());
    write_settings(relayed_agents);
}

deployment::~deployment()
{
    children_.clear();
    std::error_code ec;
    std::filesystem::remove_all(run_, ec);
}

void deployment::write_file(const std::string& name, const std::string& text)
{
    std::ofstream{run_ / name} << text;
}

void deployment::write_settings(bool relayed_agents)
{
    const auto ports = free_ports(18);
    control_http_ = {ports[0], ports[1], ports[2]};
    entry_ports_ = {ports[6], ports[7]};
    agent_http_ = {ports[8], ports[9]};
    engine_ports_ = {ports[12], ports[13]};
    std::string hosts;
    std::string control;
    for (std::size_t n = 0; n < 3; ++n) {
        const std::string comma = n == 0 ? "" : ",";
        hosts += comma + "c" + std::to_string(n + 1) + "=" + address(ports[3 + n]);
        control += comma + address(ports[3 + n]);
    }
    const auto node = [](const std::string& name) {
        return "[node]\nname = " + name + "\nfailure_domain = d" + name.substr(1) +
               "\nlog_form = text\n[tls]\nmode = off\n";
    };
    for (std::size_t n = 0; n < 3; ++n) {
        const std::string name = "c" + std::to_string(n + 1);
        write_file(name + ".ini", node(name) + "[control]\nlisten = " + address(ports[3 + n]) +
                                      "\nhttp = " + address(control_http_[n]) +
                                      "\ndata = " + path(name) + "\nhosts = " + hosts +
                                      "\noperator_key_sha256 = " + sha256_hex(operator_key) + "\n");
    }
    for (std::size_t n = 0; n < 2; ++n) {
        const std::string entry = "e" + std::to_string(n + 1);
        write_file(entry + ".ini", node(entry) + "[entry]\nhttp = " + address(entry_ports_[n]) +
                                       "\ncontrol = " + control + "\n");
        const std::string agent = "a" + std::to_string(n + 1);
        std::string text = node(agent) + "[agent]\nlisten = " + address(ports[10 + n]) +
                           "\nhttp = " + address(agent_http_[n]) + "\ncontrol = " + control + "\n";
        if (relayed_agents) {
            relays_.push_back(std::make_unique<relay>(ports[14 + n], ports[10 + n]));
            text += "advertise = " + address(ports[14 + n]) + "\n";
        }
        write_file(agent + ".ini", text);
    }
}

std::vector<std::string> deployment::command_for(const std::string& name) const
{
    if (name.starts_with("engine")) {
        const std::size_t n = name.back() == '1' ? 0 : 1;
        return {build_ + "/hickorypost-fake-engine",
                "--name",
                name,
                "--model",
                "skills",
                "--model-version",
                std::to_string(n + 1),
                "--port",
                std::to_string(engine_ports_[n]),
                "--announce",
                "http://" + address(agent_http_[n]),
                "--starts",
                path("starts"),
                "--first-ms",
                "5",
                "--token-ms",
                "10"};
    }
    const std::string verb = name.starts_with("c")   ? "control"
                             : name.starts_with("e") ? "entry"
                                                     : "agent";
    return {build_ + "/hickorypost", verb, path(name + ".ini")};
}

void deployment::start_node(const std::string& name)
{
    children_[name] = std::make_unique<child>(command_for(name), run_ / (name + ".log"));
}

bool deployment::start()
{
    for (const auto* name : {"c1", "c2", "c3", "a1", "a2", "e1", "e2", "engine1", "engine2"}) {
        start_node(name);
    }
    write_file("model.json", R"({"schema": 1, "kind": "model", "name": "skills", "number": 1,
        "default": "1", "versions": [{"version": "1", "price_in": 1000000, "price_out": 2000000},
                                     {"version": "2", "price_in": 1000000, "price_out": 3000000}]})");
    write_file("account.json",
               R"({"schema": 2, "kind": "account", "name": "kuzgun", "number": 1,
                   "allow": [{"model": "skills"}], "key_sha256": [")" +
                   sha256_hex(caller_key) + R"("]})");
    const auto [code, output] = command({"submit", path("model.json"), path("account.json")});
    return code == 0 && eventually([&] {
               return chat(0, "skills@1").status == 200 && chat(1, "skills@1").status == 200 &&
                      chat(0, "skills@2").status == 200 && chat(1, "skills@2").status == 200;
           });
}

std::vector<std::string> deployment::caller_headers(const std::string& key,
                                                    bool non_idempotent) const
{
    std::vector<std::string> out{"Authorization: Bearer " + caller_key};
    if (!key.empty()) {
        out.push_back("Idempotency-Key: " + key);
    }
    if (non_idempotent) {
        out.emplace_back("Hickorypost-Non-Idempotent: true");
    }
    return out;
}

std::unique_ptr<http_client> deployment::begin_chat(std::size_t entry, const std::string& model,
                                                    unsigned tokens, const std::string& key,
                                                    bool non_idempotent)
{
    const nlohmann::json body = {{"model", model}, {"stream", true}, {"max_tokens", tokens}};
    return std::make_unique<http_client>(entry_ports_[entry], "POST", "/v1/chat/completions",
                                         caller_headers(key, non_idempotent), body.dump());
}

http_reply deployment::chat(std::size_t entry, const std::string& model, const std::string& key,
                            bool non_idempotent)
{
    return begin_chat(entry, model, 4, key, non_idempotent)
        ->finish(std::chrono::milliseconds{15'000});
}

std::unique_ptr<child> deployment::start_command(std::vector<std::string> args,
                                                 const std::string& name)
{
    std::string control;
    for (const auto port : control_http_) {
        control += (control.empty() ? "http://" : ",http://") + address(port);
    }
    write_file("operator.key", operator_key + "\n");
    args.insert(args.begin(), build_ + "/hickorypost");
    args.insert(args.end(), {"--control", control, "--key-file", path("operator.key")});
    return std::make_unique<child>(std::move(args), run_ / name);
}

std::pair<int, std::string> deployment::command(std::vector<std::string> args)
{
    const std::string output = "command.out";
    std::filesystem::remove(run_ / output);
    const auto it = start_command(std::move(args), output);
    const auto code = it->wait(std::chrono::milliseconds{40'000});
    return {code.value_or(-1), text_of(run_ / output)};
}

std::string deployment::leader(std::size_t group)
{
    for (const auto port : control_http_) {
        const auto reply =
            ask(port, "GET", "/v1/status", {"Authorization: Bearer " + operator_key});
        const auto json = nlohmann::json::parse(reply.body, nullptr, false);
        if (json.is_object() && json["groups"][group]["lease"] == true) {
            return json["node"];
        }
    }
    return {};
}

bool deployment::control_is_fully_replicated()
{
    std::map<std::size_t, std::size_t> leaders;
    std::map<std::size_t, std::set<std::uint64_t>> commits;
    std::size_t voting = 0;
    for (const auto port : control_http_) {
        const auto reply =
            ask(port, "GET", "/v1/status", {"Authorization: Bearer " + operator_key});
        const auto json = nlohmann::json::parse(reply.body, nullptr, false);
        if (!json.is_object()) {
            return false;
        }
        for (std::size_t group = 0; group < json["groups"].size(); ++group) {
            const auto& it = json["groups"][group];
            leaders[group] += it["lease"] == true ? 1U : 0U;
            commits[group].insert(it["commit"].get<std::uint64_t>());
            const bool votes = it["role"] == "leader" || it["role"] == "follower";
            voting += votes && it["learners"].empty() && it["voters"].size() == 3 ? 1U : 0U;
        }
    }
    return voting == 3 * leaders.size() &&
           std::all_of(leaders.begin(), leaders.end(),
                       [](const auto& it) { return it.second == 1; }) &&
           std::all_of(commits.begin(), commits.end(),
                       [](const auto& it) { return it.second.size() == 1; });
}

std::size_t deployment::starts_of(const std::string& key) const
{
    std::stringstream in{text_of(run_ / "starts")};
    std::size_t out = 0;
    for (std::string line; std::getline(in, line);) {
        out += line.starts_with(key + " ") ? 1U : 0U;
    }
    return out;
}

std::size_t deployment::starts_on_version(const std::string& version) const
{
    std::stringstream in{text_of(run_ / "starts")};
    std::size_t out = 0;
    for (std::string line; std::getline(in, line);) {
        out += line.ends_with(" " + version) ? 1U : 0U;
    }
    return out;
}

std::size_t deployment::reported_requests()
{
    const auto [code, output] = command({"report", "--format", "json"});
    const auto json = nlohmann::json::parse(output, nullptr, false);
    return code == 0 && json.is_object() ? json["total"]["requests"].get<std::size_t>() : 0;
}

std::uint16_t deployment::engine_control_port(std::size_t engine) const
{
    return engine_ports_[engine];
}

void deployment::stall_agent_connections()
{
    for (const auto& it : relays_) {
        it->stall_open_connections();
    }
}

void deployment::wipe_data(const std::string& control) const
{
    std::filesystem::remove_all(run_ / control);
}

} // namespace hickorypost::testing
