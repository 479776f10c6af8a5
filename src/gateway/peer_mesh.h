#pragma once

#include "hickorypost/net/connector.h"
#include "hickorypost/net/listener.h"
#include "hickorypost/wire/messages.h"
#include "runtime.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace hickorypost {

struct mesh_hooks {
    std::function<void(const node_id&)> up;
    std::function<void(const node_id&)> down;
    std::function<void(const node_id&, wire::message_type, std::string_view)> message;
};

/// The links of a gateway host. Hosts with a disk link to each other; the others link to those, so
/// that a host without a disk keeps as many links as there are disks, however many hosts there are.
///
/// Hosts are named by their IP address: all listen on the same internal port.
class peer_mesh {
public:
    /// `has_disk`: of this host. Fails with `net::listen_error`.
    static result<std::unique_ptr<peer_mesh>> open(runtime& env, const net::peer_address& self,
                                                   bool has_disk, mesh_hooks hooks);

    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Dials hosts about which only the address is known.
    void dial_seeds(const std::vector<node_id>& seeds);
    /// Learns of a host with a disk; true if it is new.
    bool add_core_host(const wire::host_info& host);

    template <class M>
    bool send(const node_id& to, const M& message)
    {
        net::link* const it = link_to(to);
        if (it == nullptr) {
            return false;
        }
        it->send(message);
        return true;
    }

    [[nodiscard]] net::link* link_to(const node_id& to) const;
    /// So much waits for that host that a message which is soon out of date is better left out.
    [[nodiscard]] bool congested(const node_id& to) const;
    /// Hosts with a disk, this one included if it has one.
    [[nodiscard]] const std::map<node_id, std::string>& core() const noexcept { return core_; }
    /// All hosts that a link is up to.
    [[nodiscard]] std::vector<node_id> linked() const;
    [[nodiscard]] bool is_core(const node_id& host) const { return core_.contains(host); }
    [[nodiscard]] const node_id& self() const noexcept { return self_.host; }

private:
    peer_mesh(runtime& env, net::peer_address self, bool has_disk, mesh_hooks hooks);
    result<void> open_listener();
    void dial(const node_id& host);
    void on_up(net::link& it);
    void on_down(net::link& it, std::string_view why);
    [[nodiscard]] wire::hello hello() const;
    net::link_options link_options() const;

    runtime& env_;
    net::peer_address self_;
    bool has_disk_;
    mesh_hooks hooks_;
    std::map<node_id, std::string> core_; ///< with each one's failure domain
    std::map<node_id, std::unique_ptr<net::connector>> connectors_;
    std::map<node_id, std::set<net::link*>> incoming_;
    std::unique_ptr<net::listener> listener_;
};

} // namespace hickorypost
