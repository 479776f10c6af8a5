#include "soak_run.h"

#include "gateway_site.h"
#include "hickorypost/http1/parser.h"
#include "hickorypost/net/tcp_stream.h"

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace hickorypost::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using time_point = steady_clock::time_point;

constexpr std::size_t caller_threads = 4;
constexpr std::size_t stream_events = 12;
/// Longer than the routes' timeout of 8 s.
constexpr int answer_limit_ms = 10'000;
/// As the platform promises backend servers that leave, with a margin for a busy machine.
constexpr milliseconds drain_limit{3000};
/// Within which a configuration is in force and read back everywhere, with the same margin.
constexpr milliseconds apply_limit{3000};
/// After the last fault everything must be served again within this.
constexpr milliseconds recovery_limit{15'000};
/// A host's own trouble excuses a lost connection for this long.
constexpr milliseconds excuse{3000};

enum class sort : std::uint8_t { safe, once, stream };

/// What callers and the schedule share.
struct shared_state {
    gateway_site site;
    std::mutex mutex;
    soak_result out;
    std::vector<std::string> once_ids;
    std::vector<std::string> refused_ids;
    std::array<time_point, gateway_site::hosts> unplanned{}; ///< each host's last trouble
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> acknowledged{5}; ///< newest configuration
    time_point began = steady_clock::now();

    void broken(const std::string& what)
    {
        const std::scoped_lock lock{mutex};
        out.broken.push_back(stamp() + what);
    }
    void fault(const std::string& what)
    {
        const std::scoped_lock lock{mutex};
        out.faults.push_back(stamp() + what);
    }
    void mark(std::size_t host)
    {
        const std::scoped_lock lock{mutex};
        unplanned[host] = steady_clock::now();
    }
    bool excused(std::size_t host, time_point sent)
    {
        const std::scoped_lock lock{mutex};
        return unplanned[host] + excuse > sent;
    }
    [[nodiscard]] std::string stamp() const
    {
        const auto since =
            std::chrono::duration_cast<milliseconds>(steady_clock::now() - began).count();
        return std::to_string(since) + " ms: ";
    }
};

/// A connection that a caller keeps and uses until it is closed.
class kept_connection {
public:
    explicit kept_connection(std::string address) : address_{std::move(address)} {}
    ~kept_connection() { close(); }
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;

    /// Status 0: no answer, as the connection ended or the time was over.
    call_reply ask(const std::string& text)
    {
        call_reply out;
        if (fd_ < 0 && !open()) {
            return out;
        }
        http1::response_parser parser;
        parser.begin(false);
        const auto end = steady_clock::now() + milliseconds{answer_limit_ms};
        bool going = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
                     static_cast<ssize_t>(text.size());
        while (going && !parser.done()) {
            going = read_into(parser, end);
            out.body += parser.take_body();
        }
        out.status = parser.head_done() ? static_cast<int>(parser.head().status) : 0;
        out.whole = parser.done();
        if (!out.whole || !parser.head().keep_alive || parser.has_extra()) {
            out.head = parser.has_extra() ? "extra bytes" : "";
            close();
        }
        return out;
    }
    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = -1;
    }

private:
    bool open()
    {
        const auto it = net::endpoint::parse(address_).value_or(net::endpoint{});
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(it.port);
        to.sin_addr.s_addr = it.ip;
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
            return true;
        }
        close();
        return false;
    }

    bool read_into(http1::response_parser& parser, time_point end) const
    {
        const auto left = std::chrono::duration_cast<milliseconds>(end - steady_clock::now());
        pollfd waiting{fd_, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
            return false;
        }
        std::array<char, 16384> buf{};
        const ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return false;
        }
        parser.push({buf.data(), static_cast<std::size_t>(n)});
        return parser.fault() == http1::parse_fault::none;
    }

    std::string address_;
    int fd_ = -1;
};

/// Sends one request after the other to hosts by chance, and judges each answer.
class caller {
public:
    caller(shared_state& all, std::uint64_t seed) : all_{all}, random_{seed}, name_{seed}
    {
        for (std::size_t host = 0; host < gateway_site::hosts; ++host) {
            connections_.emplace_back(all_.site.callers(host));
        }
    }

    void run()
    {
        while (!all_.stop) {
            const std::size_t host = random_() % gateway_site::hosts;
            const auto kind = static_cast<sort>(random_() % 3);
            ask(host, kind, "c" + std::to_string(name_) + "-" + std::to_string(++count_));
            ::poll(nullptr, 0, static_cast<int>(random_() % 30));
        }
    }

private:
    void ask(std::size_t host, sort kind, const std::string& id)
    {
        const char* const path = kind == sort::safe   ? "safe"
                                 : kind == sort::once ? "once"
                                                      : "stream";
        std::string text = std::string{kind == sort::once ? "POST /" : "GET /"} + path +
                           "/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                           "\r\nApi-Key: test-caller-key\r\nRequest-Deadline: 9000\r\n";
        if (kind == sort::stream) {
            text += "Model-Name: *\r\nToken-Usage: 10,10\r\n";
        }
        text += "Content-Length: 0\r\n\r\n";
        const auto sent = steady_clock::now();
        const auto reply = connections_[host].ask(text);
        judge(host, kind, id, sent, reply);
    }

    void judge(std::size_t host, sort kind, const std::string& id, time_point sent,
               const call_reply& reply)
    {
        constexpr int ok = 200;
        const bool refused = reply.status == 503 || reply.status == 429 || reply.status == 408 ||
                             reply.status == 421;
        if (reply.status == ok && reply.whole && !is_right(kind, id, reply)) {
            all_.broken("request " + id + " got a success that is not its answer");
        }
        if (reply.head == "extra bytes") {
            all_.broken("request " + id + " was answered with more than one answer");
        }
        // A request that crosses the host's own close is not passed on; one that was must be
        // answered, unless its host was in trouble.
        if (reply.status == 0 && runs_of(id) > 0 && !all_.excused(host, sent) &&
            steady_clock::now() < sent + milliseconds{answer_limit_ms}) {
            all_.broken("request " + id + " ran and its connection to host " +
                        std::to_string(host) + " was closed without an answer");
        }
        const std::scoped_lock lock{all_.mutex};
        ++all_.out.requests;
        ++(reply.status == ok && reply.whole ? all_.out.served
           : refused                         ? all_.out.refused
                                             : all_.out.failed);
        if (kind == sort::once) {
            all_.once_ids.push_back(id);
        }
        if (refused) {
            all_.refused_ids.push_back(id);
        }
    }

    static bool is_right(sort kind, const std::string& id, const call_reply& reply)
    {
        return kind == sort::stream ? whole_stream(reply, stream_events)
                                    : reply.body == "answer to " + id;
    }

    std::size_t runs_of(const std::string& id) { return all_.site.runs_of(id); }

    shared_state& all_;
    std::mt19937_64 random_;
    std::uint64_t name_;
    std::uint64_t count_ = 0;
    std::deque<kept_connection> connections_;
};

/// What a schedule's faults happen to. The two run beside each other.
enum class lane : std::uint8_t { hosts, backends };

/// The faults of one seed in one lane: one host at a time is in unplanned trouble, as the site
/// tolerates, while backend servers have theirs and configurations change.
class schedule {
public:
    schedule(shared_state& all, std::uint64_t seed, lane which)
        : all_{all}, random_{seed * 7919 + static_cast<std::uint64_t>(which)}, lane_{which}
    {
    }

    void run(std::chrono::seconds length)
    {
        const auto end = steady_clock::now() + length;
        while (steady_clock::now() < end) {
            wait(200, 900);
            step();
        }
        for (auto& it : later_) {
            it.join();
        }
        end_faults();
    }

private:
    void step()
    {
        if (lane_ == lane::hosts) {
            host_step();
        } else {
            backend_step();
        }
    }

    void host_step()
    {
        switch (random_() % 5) {
        case 0:
            return host_fault("kill -9", [this](std::size_t host) { restart(host, false); });
        case 1:
            return host_fault("kill -9 and lost disk",
                              [this](std::size_t host) { restart(host, true); });
        case 2:
            return host_fault("SIGSTOP", [this](std::size_t host) {
                all_.site.host(host).signal(SIGSTOP);
                wait(300, 2500);
                all_.site.host(host).signal(SIGCONT);
                all_.mark(host);
            });
        default:
            return stop_in_turn();
        }
    }

    void backend_step()
    {
        switch (random_() % 6) {
        case 0:
            return change_mood();
        case 1:
        case 2:
            return relay_trouble();
        case 3:
            return drain_one();
        case 4:
            return crash_one();
        default:
            return change_config();
        }
    }

    void wait(int least, int most)
    {
        const auto span = static_cast<std::uint64_t>(most - least);
        ::poll(nullptr, 0, least + static_cast<int>(random_() % span));
    }

    /// One host at a time is in unplanned trouble: that many the site tolerates.
    template <class Fault>
    void host_fault(const std::string& name, const Fault& fault)
    {
        const std::size_t host = random_() % gateway_site::hosts;
        all_.fault(name + " of host " + std::to_string(host));
        all_.mark(host);
        fault(host);
        settle(host);
    }

    void restart(std::size_t host, bool wipe)
    {
        all_.site.kill_host(host);
        if (wipe && host < gateway_site::disks) {
            all_.site.wipe_disk(host);
        }
        wait(50, 600);
        all_.site.write_settings(host, {0, 1, 2}, false);
        all_.site.start_host(host);
        all_.mark(host);
    }

    /// Until it serves and has caught up, as the platform waits before the next loss.
    void settle(std::size_t host)
    {
        if (!eventually([&] { return all_.site.serves(host); }, recovery_limit)) {
            all_.broken("host " + std::to_string(host) + " does not serve after its return");
        }
        wait(2500, 3000);
        all_.mark(host);
    }

    /// Planned: no request may be cut. The second signal comes while the process ends.
    void stop_in_turn()
    {
        const std::size_t host = random_() % gateway_site::hosts;
        all_.fault("SIGTERM of host " + std::to_string(host));
        all_.site.host(host).signal(SIGTERM);
        if (random_() % 2 == 0) {
            wait(20, 200);
            all_.site.host(host).signal(SIGTERM);
        }
        const auto code = all_.site.host(host).wait(milliseconds{9000});
        if (!code) {
            all_.broken("host " + std::to_string(host) + " still runs 9 s after SIGTERM");
            all_.site.kill_host(host);
        } else if (*code != 0) {
            all_.broken("host " + std::to_string(host) + " ended with " + std::to_string(*code) +
                        " after SIGTERM");
        }
        all_.site.write_settings(host, {0, 1, 2}, false);
        all_.site.start_host(host);
        settle(host);
    }

    void change_mood()
    {
        const auto id = any_backend();
        const auto mood = static_cast<backend_mood>(1 + random_() % 5);
        all_.fault("mood " + std::to_string(static_cast<int>(mood)) + " of " + id);
        all_.site.backend(id).set_mood(mood);
        wait(500, 2000);
        all_.site.backend(id).set_mood(backend_mood::good);
    }

    void relay_trouble()
    {
        const auto id = any_backend();
        const auto fault = static_cast<relay_fault>(1 + random_() % 4);
        all_.fault("relay fault " + std::to_string(static_cast<int>(fault)) + " of " + id);
        all_.site.relay_of(id).set_fault(fault);
        wait(500, 2500);
        all_.site.relay_of(id).set_fault(relay_fault::none);
    }

    /// A new one comes first; then the old one drains, is acknowledged, and must be left alone.
    void drain_one()
    {
        const auto id = replace_one();
        all_.fault(id + " drains");
        if (!all_.site.backend(id).drain(all_.site.control(random_() % gateway_site::hosts))) {
            all_.site.remove_backend(id);
            return; // nobody acknowledged: it may be used until it is gone
        }
        later_.emplace_back([this, id, since = steady_clock::now()] {
            std::this_thread::sleep_for(drain_limit * 2);
            for (const auto& it : all_.site.backend(id).runs()) {
                if (it.at > since + drain_limit && it.request.front() == 'c') {
                    all_.broken(id + " got request " + it.request + " after it had drained");
                }
            }
        });
    }

    void crash_one()
    {
        const auto id = replace_one();
        all_.fault(id + " crashes");
        all_.site.remove_backend(id);
    }

    /// Adds a successor to one backend server, which counts no longer; gives the old one.
    std::string replace_one()
    {
        const std::size_t n = random_() % backends_.size();
        std::string old = backends_[n];
        const bool streaming = old.find("llm") != std::string::npos;
        backends_[n] = old.substr(0, old.find('.')) + "." + std::to_string(++successors_);
        all_.site.add_relayed_backend({.id = backends_[n],
                                       .service = streaming ? "llm" : "app",
                                       .streaming = streaming,
                                       .events = stream_events});
        wait(500, 900);
        return old;
    }

    /// Two operators send the next version at once, to two hosts, with the same content.
    void change_config()
    {
        const auto version = ++version_;
        all_.fault("configuration " + std::to_string(version));
        const auto text = site_config_text(version);
        if (random_() % 2 == 0) {
            call(all_.site.control(random_() % gateway_site::hosts), "PUT", "/hickorypost/config",
                 {}, text);
        }
        if (all_.site.put_config(text)) {
            all_.acknowledged = version;
            const std::scoped_lock lock{all_.mutex};
            ++all_.out.configs;
        }
    }

    void end_faults()
    {
        for (const auto& id : lane_ == lane::backends ? backends_ : std::vector<std::string>{}) {
            all_.site.backend(id).set_mood(backend_mood::good);
            all_.site.relay_of(id).set_fault(relay_fault::none);
        }
    }

    std::string any_backend() { return backends_[random_() % backends_.size()]; }

    shared_state& all_;
    std::mt19937_64 random_;
    lane lane_;
    std::vector<std::string> backends_{"i-llm3", "i-llm4", "i-app3", "i-app4"};
    std::uint64_t successors_ = 0;
    std::uint64_t version_ = 5;
    std::vector<std::jthread> later_;
};

std::uint64_t version_of(const std::string& body)
{
    constexpr std::string_view mark = "\"Version\":";
    const auto at = body.find(mark);
    return at == std::string::npos ? 0 : std::stoull(body.substr(at + mark.size()));
}

/// Reads the configuration at one host after the other: never older than acknowledged long before.
void watch_configs(shared_state& all)
{
    std::deque<std::pair<time_point, std::uint64_t>> known;
    for (std::size_t n = 0; !all.stop; ++n) {
        known.emplace_back(steady_clock::now(), all.acknowledged);
        const auto asked = steady_clock::now();
        const auto reply =
            call(all.site.control(n % gateway_site::hosts), "GET", "/hickorypost/config");
        while (known.size() > 1 && known[1].first + apply_limit < asked) {
            known.pop_front();
        }
        const bool due = known.front().first + apply_limit < asked;
        if (reply.status == 200 && reply.whole && due &&
            version_of(reply.body) < known.front().second) {
            all.broken("host " + std::to_string(n % gateway_site::hosts) + " reads version " +
                       std::to_string(version_of(reply.body)) + " after " +
                       std::to_string(known.front().second) + " was acknowledged");
        }
        ::poll(nullptr, 0, 100);
    }
}

void check_end(shared_state& all)
{
    const auto newest = all.acknowledged.load();
    for (std::size_t host = 0; host < gateway_site::hosts; ++host) {
        const bool back = eventually(
            [&] {
                const auto reply = call(all.site.control(host), "GET", "/hickorypost/config");
                return reply.status == 200 && version_of(reply.body) >= newest;
            },
            recovery_limit);
        const bool serves = eventually([&] { return all.site.serves(host); }, recovery_limit);
        if (!back || !serves) {
            all.broken("host " + std::to_string(host) +
                       (back ? " does not serve" : " does not read back version ") +
                       (back ? "" : std::to_string(newest)) + " at the end");
        }
    }
    for (const auto& id : all.once_ids) {
        if (all.site.runs_of(id) > 1) {
            all.broken("request " + id + " may run once and ran more often");
        }
    }
    for (const auto& id : all.refused_ids) {
        if (all.site.runs_of(id) > 0) {
            all.broken("request " + id + " was refused as not run and has run");
        }
    }
}

} // namespace

soak_result run_soak(const soak_options& options)
{
    shared_state all;
    if (!all.site.start()) {
        all.broken("the site does not start");
        return all.out;
    }
    for (const auto* id : {"i-llm1", "i-llm2", "i-app1", "i-app2"}) {
        const bool streaming = std::string_view{id}.find("llm") != std::string_view::npos;
        std::string relayed{id};
        relayed.back() = static_cast<char>(relayed.back() + 2);
        all.site.add_relayed_backend({.id = relayed,
                                      .service = streaming ? "llm" : "app",
                                      .streaming = streaming,
                                      .events = stream_events});
    }
    {
        std::vector<std::jthread> threads;
        for (std::size_t n = 0; n < caller_threads; ++n) {
            threads.emplace_back([&all, seed = options.seed * 100 + n] {
                caller{all, seed}.run();
            });
        }
        threads.emplace_back([&all] { watch_configs(all); });
        threads.emplace_back([&all, &options] {
            schedule{all, options.seed, lane::hosts}.run(options.faults);
        });
        schedule{all, options.seed, lane::backends}.run(options.faults);
        threads.back().join();
        std::this_thread::sleep_for(std::chrono::seconds{1});
        all.stop = true;
    }
    check_end(all);
    return all.out;
}

} // namespace hickorypost::testing
