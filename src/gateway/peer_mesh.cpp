#include "gateway/peer_mesh.h"

#include <chrono>
#include <optional>
#include <utility>

namespace hickorypost {

namespace {

/// Heartbeat interval of a link, and the silence after which the link is replaced. A dead link must
/// be detected well within the 3 s in which a change has to reach all hosts.
constexpr millis link_heartbeat{400};
constexpr millis link_silence{1300};
constexpr millis max_redial_interval{400};
constexpr millis listen_retry_delay{100};
/// Ten times the longest transit time between failure domains. A host that is up accepts a
/// connection well within this time.
constexpr millis connect_timeout{300};
/// A link to a peer that reads too slowly is closed when this many bytes wait to be sent. The limit
/// holds several of the largest bodies that operators may send (4 MB), and a host with 88 MB of
/// memory and 30 links must not run out of memory if all peers are slow.
constexpr std::size_t max_unsent_link_bytes = std::size_t{16} << 20U;
/// With more unsent bytes than this, messages that soon become outdated are not queued. Equals what
/// a link of 10 Mbit/s sends in a tenth of a second.
constexpr std::size_t congested_bytes = std::size_t{128} << 10U;

} // namespace

peer_mesh::peer_mesh(runtime& env, net::peer_address self, bool has_disk, mesh_hooks hooks)
    : env_{env}, self_{std::move(self)}, has_disk_{has_disk}, hooks_{std::move(hooks)}
{
    if (has_disk_) {
        core_.emplace(self_.host, env_.config.node.failure_domain);
    }
}

peer_mesh::~peer_mesh()
{
    // The links that are closed below must not call back into objects that no longer exist.
    hooks_ = {[](const node_id&) {}, [](const node_id&) {},
              [](const node_id&, wire::message_type, std::string_view) {}};
}

result<std::unique_ptr<peer_mesh>> peer_mesh::open(runtime& env, const net::peer_address& self,
                                                   bool has_disk, mesh_hooks hooks)
{
    std::unique_ptr<peer_mesh> out{new peer_mesh{env, self, has_disk, std::move(hooks)}};
    std::optional<net::listen_error> failure;
    BOOST_LEAF_CHECK(leaf::try_handle_some([&]() -> result<void> { return out->open_listener(); },
                                           [&](const net::listen_error& error) -> result<void> {
                                               if (!error.transient) {
                                                   return leaf::new_error(error);
                                               }
                                               failure = error;
                                               return {};
                                           }));
    if (failure) {
        out->wait_for_address(*failure);
    }
    return out;
}

void peer_mesh::wait_for_address(const net::listen_error& failure)
{
    env_.log->warn("internal listener waits for {}: {}", failure.address, failure.detail);
    listen_failure_ = failure.detail;
    waits_since_ = env_.now();
    listen_timer_ = net::timer::every(listen_retry_delay, [this] { retry_listening(); });
}

void peer_mesh::retry_listening()
{
    value_or_handle<net::listen_error>(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(open_listener());
            return true;
        },
        [&](const net::listen_error& error) {
            if (std::exchange(listen_failure_, error.detail) != error.detail) {
                env_.log->warn("internal listener waits for {}: {}", error.address, error.detail);
            }
            return false;
        });
    if (!listener_) {
        return;
    }
    listen_timer_.cancel();
    env_.log->info("internal listener open after {} ms",
                   std::chrono::duration_cast<millis>(env_.now() - waits_since_).count());
    for (const auto& host : std::exchange(undialed_, {})) {
        connect_to(host);
    }
}

wire::hello peer_mesh::hello() const
{
    auto out = env_.hello(has_disk_ ? wire::node_role::control : wire::node_role::entry);
    out.node = self_.host;
    return out;
}

net::link_options peer_mesh::link_options() const
{
    net::link_options out;
    out.heartbeat = link_heartbeat;
    out.silence_limit = link_silence;
    out.max_unsent_bytes = max_unsent_link_bytes;
    return out;
}

result<void> peer_mesh::open_listener()
{
    net::link_hooks hooks;
    hooks.up = [this](net::link& it) {
        incoming_[it.peer().node].insert(&it);
        on_up(it);
    };
    hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
        on_message(it, type, body);
    };
    hooks.down = [this](net::link& it, std::string_view why) {
        incoming_[it.peer().node].erase(&it);
        on_down(it, why);
    };
    BOOST_LEAF_ASSIGN(
        listener_, net::listener::open(self_, hello(), env_.tls, link_options(), std::move(hooks)));
    return {};
}

void peer_mesh::dial(const std::vector<node_id>& hosts)
{
    for (const auto& it : hosts) {
        connect_to(it);
    }
}

bool peer_mesh::add_core_host(const wire::host_info& host)
{
    if (!core_.emplace(host.host, host.failure_domain).second) {
        return false;
    }
    connect_to(host.host);
    return true;
}

void peer_mesh::connect_to(const node_id& host)
{
    if (host == self_.host || connectors_.contains(host)) {
        return;
    }
    if (!listener_) {
        undialed_.insert(host);
        return;
    }
    net::link_hooks hooks;
    hooks.up = [this](net::link& it) { on_up(it); };
    hooks.message = [this](net::link& it, wire::message_type type, std::string_view body) {
        on_message(it, type, body);
    };
    hooks.down = [this](net::link& it, std::string_view why) { on_down(it, why); };
    net::connector_options options;
    options.longest_retry = max_redial_interval;
    options.connect_limit = connect_timeout;
    options.link = link_options();
    connectors_[host] =
        std::make_unique<net::connector>(net::peer_address{host, self_.port}, hello(), env_.tls,
                                         options, env_.random, std::move(hooks));
}

void peer_mesh::on_up(net::link& it)
{
    const auto& peer = it.peer();
    if (peer.role == wire::node_role::control) {
        add_core_host({peer.node, peer.failure_domain});
    }
    env_.log->info("link to host {} is up", peer.node);
    hooks_.up(peer.node);
}

void peer_mesh::on_down(net::link& it, std::string_view why)
{
    const node_id host = it.peer().node;
    env_.log->info("link to host {} is down: {}", host, why);
    if (link_to(host) == nullptr) {
        hooks_.down(host);
    }
}

void peer_mesh::on_message(net::link& it, wire::message_type type, std::string_view body)
{
    traffic_.received(type, body.size() + wire::frame_header_bytes);
    hooks_.message(it.peer().node, type, body);
}

net::link* peer_mesh::link_to(const node_id& to) const
{
    if (const auto it = connectors_.find(to); it != connectors_.end()) {
        if (net::link* const up = it->second->current(); up != nullptr) {
            return up;
        }
    }
    if (const auto it = incoming_.find(to); it != incoming_.end()) {
        for (net::link* const up : it->second) {
            if (up->is_up()) {
                return up;
            }
        }
    }
    return nullptr;
}

bool peer_mesh::congested(const node_id& to) const
{
    const auto* const up = link_to(to);
    return up != nullptr && up->unsent_bytes() > congested_bytes;
}

std::size_t peer_mesh::unsent_bytes() const
{
    return sum_over_links([](const net::link& it) { return it.unsent_bytes(); });
}

std::size_t peer_mesh::buffer_bytes() const
{
    return sum_over_links([](const net::link& it) { return it.buffer_bytes(); });
}

std::size_t
peer_mesh::sum_over_links(const std::function<std::size_t(const net::link&)>& bytes) const
{
    std::size_t sum = 0;
    for (const auto& [host, it] : connectors_) {
        if (const net::link* const up = it->current(); up != nullptr) {
            sum += bytes(*up);
        }
    }
    for (const auto& [host, links] : incoming_) {
        for (const net::link* const it : links) {
            sum += bytes(*it);
        }
    }
    return sum;
}

std::vector<node_id> peer_mesh::linked() const
{
    std::set<node_id> out;
    for (const auto& [host, it] : connectors_) {
        if (it->current() != nullptr) {
            out.insert(host);
        }
    }
    for (const auto& [host, links] : incoming_) {
        if (link_to(host) != nullptr) {
            out.insert(host);
        }
    }
    return {out.begin(), out.end()};
}

} // namespace hickorypost
