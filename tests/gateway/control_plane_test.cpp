#include "gateway/control_plane.h"

#include "gateway/peer_mesh.h"
#include "hickorypost/net/listener.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace {

using namespace hickorypost;

constexpr millis wait_limit{5000};
const node_id leader_host = "127.0.33.2";
const node_id plain_host = "127.0.33.1";

/// Runs the main loop until `done` returns true. Returns false after `wait_limit`.
bool run_until(const std::function<bool()>& done)
{
    const auto now = system_clock_fn();
    const instant end = now() + wait_limit;
    // Wakes the main loop, so that the limit is noticed.
    const auto ticks = net::timer::every(millis{20}, [] {});
    while (!done() && now() < end) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return done();
}

/// The leader of the control log as seen by another host: records orders, replies on request.
class stand_in_leader {
public:
    stand_in_leader()
    {
        net::link_hooks hooks;
        hooks.up = [this](net::link& it) {
            link_ = &it;
            it.send(
                wire::core_status{.core = {{leader_host, "d"}}, .leader = leader_host, .term = 1});
        };
        hooks.message = [this](net::link&, wire::message_type type, std::string_view body) {
            if (type == wire::message_type::order) {
                orders_.push_back(wire::try_decode<wire::order>(body).value());
            }
        };
        hooks.down = [this](net::link&, std::string_view) { link_ = nullptr; };
        wire::hello self{.role = wire::node_role::control, .node = leader_host, .life = 1};
        listener_ = value_or_handle<net::listen_error>(
            [&] {
                return net::listener::open({leader_host, 0}, self, nullptr, {}, hooks);
            },
            [](const net::listen_error&) { return std::unique_ptr<net::listener>{}; });
    }

    [[nodiscard]] std::uint16_t port() const { return listener_->port(); }
    [[nodiscard]] bool linked() const { return link_ != nullptr; }
    void forget_orders() { orders_.clear(); }
    /// Returns the newest order of this kind, if any.
    [[nodiscard]] std::optional<wire::order> newest(wire::order_kind kind) const
    {
        const auto it =
            std::find_if(orders_.rbegin(), orders_.rend(),
                         [kind](const wire::order& order) { return order.kind == kind; });
        return it == orders_.rend() ? std::nullopt : std::optional{*it};
    }
    void reply(std::uint64_t order)
    {
        link_->send(wire::order_reply{order, wire::reply_status::done, leader_host, {}});
    }
    void send_state(std::uint64_t revision)
    {
        gateway::site_state state;
        state.revision = revision;
        link_->send(wire::site_update{wire::encode(state)});
    }

private:
    std::vector<wire::order> orders_;
    net::link* link_ = nullptr;
    std::unique_ptr<net::listener> listener_;
};

/// One process of a gateway host without a disk, as far as it takes part in the control log.
class plain_process {
public:
    explicit plain_process(std::uint16_t port)
        : config_{.gateway = gateway_settings{.seeds = {leader_host}}},
          spans_{{}, "test", plain_host}, random_{system_random_fn()},
          env_{config_,
               random_(),
               system_clock_fn(),
               system_wall_clock_fn(),
               random_,
               telemetry::make_logger("test", telemetry::log_form::text, spdlog::level::off),
               metrics_,
               spans_,
               nullptr,
               {}}
    {
        mesh_hooks hooks;
        hooks.up = [this](const node_id& host) { plane_->on_link_up(host); };
        hooks.down = [this](const node_id& host) { plane_->on_link_down(host); };
        hooks.message = [this](const node_id& from, wire::message_type type,
                               std::string_view body) { plane_->on_message(from, type, body); };
        mesh_ = value_or_handle<net::listen_error>(
            [&] {
                return peer_mesh::open(env_, {plain_host, port}, false, hooks);
            },
            [](const net::listen_error&) { return std::unique_ptr<peer_mesh>{}; });
        BOOST_REQUIRE(mesh_ != nullptr);
        plane_ =
            std::make_unique<control_plane>(env_, *mesh_, control_hooks{[](const auto&) {}, [] {}});
        mesh_->dial(config_.gateway->seeds);
        plane_->start();
    }

    /// Sends a command to the leader; `acknowledged` becomes true once it is reported as durable.
    void commit(bool& acknowledged)
    {
        plane_->commit({gateway::control_kind::put_config, 1, "x", {}},
                       [&acknowledged](control_plane::order_status status, const auto*) {
                           acknowledged = status == control_plane::order_status::done;
                       });
    }
    [[nodiscard]] const control_plane& plane() const { return *plane_; }

private:
    settings config_;
    telemetry::metrics metrics_;
    telemetry::span_exporter spans_;
    random_fn random_;
    runtime env_;
    std::unique_ptr<peer_mesh> mesh_;
    std::unique_ptr<control_plane> plane_;
};

/// Two processes of one host, the first of which has ended with a command and a read unanswered.
struct restarted_host {
    restarted_host()
    {
        bool ignored = false;
        auto first = std::make_unique<plain_process>(leader.port());
        first->commit(ignored);
        BOOST_REQUIRE(run_until([this] {
            return leader.newest(wire::order_kind::command) &&
                   leader.newest(wire::order_kind::read);
        }));
        command = leader.newest(wire::order_kind::command)->id;
        read = leader.newest(wire::order_kind::read)->id;
        first.reset();
        BOOST_REQUIRE(run_until([this] { return !leader.linked(); }));
        leader.forget_orders();
        process.emplace(leader.port());
        BOOST_REQUIRE(
            run_until([this] { return leader.newest(wire::order_kind::read).has_value(); }));
    }

    stand_in_leader leader;
    std::uint64_t command = 0; ///< ids of the first process's orders
    std::uint64_t read = 0;
    std::optional<plain_process> process;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_plane_suite)

// Guards against acknowledging a configuration that no leader has seen.
BOOST_AUTO_TEST_CASE(reply_to_the_previous_process_acknowledges_no_command)
{
    restarted_host it;
    bool acknowledged = false;
    it.process->commit(acknowledged);
    BOOST_REQUIRE(
        run_until([&] { return it.leader.newest(wire::order_kind::command).has_value(); }));
    it.leader.reply(it.command);
    it.leader.reply(it.read);
    it.leader.send_state(3); // arrives after the replies
    BOOST_REQUIRE(run_until([&] { return it.process->plane().state().revision == 3; }));
    BOOST_TEST(!acknowledged);
    it.leader.reply(it.leader.newest(wire::order_kind::command)->id);
    BOOST_TEST(run_until([&] { return acknowledged; }));
}

// Guards against serving with an outdated state that no leader has confirmed to this process.
BOOST_AUTO_TEST_CASE(reply_to_the_previous_process_confirms_no_state)
{
    restarted_host it;
    it.leader.reply(it.read);
    it.leader.reply(it.command);
    it.leader.send_state(3);
    BOOST_REQUIRE(run_until([&] { return it.process->plane().state().revision == 3; }));
    BOOST_TEST(!it.process->plane().synced());
    it.leader.reply(it.leader.newest(wire::order_kind::read)->id);
    BOOST_TEST(run_until([&] { return it.process->plane().synced(); }));
}

BOOST_AUTO_TEST_SUITE_END()
