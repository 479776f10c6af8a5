#pragma once

#include "gateway/mesh_traffic.h"
#include "hickorypost/net/connector.h"
#include "hickorypost/net/listener.h"
#include "hickorypost/net/timer.h"
#include "hickorypost/wire/messages.h"
#include "runtime.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace hickorypost {

/// Callbacks of a mesh.
struct mesh_hooks {
    std::function<void(const node_id&)> up;   ///< a link to the host is up
    std::function<void(const node_id&)> down; ///< the last link to the host is down
    std::function<void(const node_id&, wire::message_type, std::string_view)> message;
};

/// The links of a gateway host. Hosts with a disk, called core hosts, link to each other. A host
/// without a disk links to the core hosts only, so that its number of links doesn't grow with the
/// number of hosts without a disk.
///
/// A host's id is its IP address, since all hosts listen on the same internal port.
class peer_mesh {
public:
    /// `has_disk`: of this host. Waits for an address that is taken. Fails with `net::listen_error`
    /// if the address can never be listened on.
    static result<std::unique_ptr<peer_mesh>> open(runtime& env, const net::peer_address& self,
                                                   bool has_disk, mesh_hooks hooks);

    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Connects to hosts of which only the address is known, once this host listens: until then a
    /// previous process of the host may still have links, on which its peers would send replies.
    void dial(const std::vector<node_id>& hosts);
    /// Adds a core host and connects to it. Returns false if it is already known.
    bool add_core_host(const wire::host_info& host);

    /// Returns false if there is no link to the host.
    template <class M>
    bool send(const node_id& to, const M& message)
    {
        net::link* const it = link_to(to);
        if (it == nullptr) {
            return false;
        }
        const auto before = it->counters().bytes_sent;
        it->send(message);
        traffic_.sent(M::type, it->counters().bytes_sent - before);
        return true;
    }

    /// Returns a link that is up, or null.
    [[nodiscard]] net::link* link_to(const node_id& to) const;
    /// Returns whether so many bytes wait to be sent to the host that messages which soon become
    /// outdated should not be queued.
    [[nodiscard]] bool congested(const node_id& to) const;
    /// Bytes that wait to be sent on all links that are up.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Memory allocated by the buffers of all links that are up, in bytes.
    [[nodiscard]] std::size_t buffer_bytes() const;
    [[nodiscard]] mesh_traffic& traffic() noexcept { return traffic_; }
    /// Core hosts with their failure domains. Includes this host if it has a disk.
    [[nodiscard]] const std::map<node_id, std::string>& core() const noexcept { return core_; }
    /// All hosts to which a link is up.
    [[nodiscard]] std::vector<node_id> linked() const;
    [[nodiscard]] bool is_core(const node_id& host) const { return core_.contains(host); }
    [[nodiscard]] const node_id& self() const noexcept { return self_.host; }
    /// Whether listening has failed and is tried again.
    [[nodiscard]] bool waits_for_address() const noexcept { return listener_ == nullptr; }

private:
    peer_mesh(runtime& env, net::peer_address self, bool has_disk, mesh_hooks hooks);
    result<void> open_listener();
    void wait_for_address(const net::listen_error& failure);
    void retry_listening();
    void connect_to(const node_id& host);
    void on_up(net::link& it);
    void on_down(net::link& it, std::string_view why);
    void on_message(net::link& it, wire::message_type type, std::string_view body);
    [[nodiscard]] wire::hello hello() const;
    net::link_options link_options() const;
    [[nodiscard]] std::size_t
    sum_over_links(const std::function<std::size_t(const net::link&)>& bytes) const;

    runtime& env_;
    net::peer_address self_;
    bool has_disk_;
    mesh_hooks hooks_;
    mesh_traffic traffic_;
    std::map<node_id, std::string> core_; ///< failure domain by host
    std::map<node_id, std::unique_ptr<net::connector>> connectors_;
    std::map<node_id, std::set<net::link*>> incoming_;
    std::unique_ptr<net::listener> listener_; ///< null while the address is taken
    std::set<node_id> undialed_;              ///< hosts to connect to once this host listens
    net::timer listen_timer_;
    instant waits_since_;
    std::string listen_failure_;
};

} // namespace hickorypost
