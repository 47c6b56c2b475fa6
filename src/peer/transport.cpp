#include "peer/transport.hpp"

#include <algorithm>
#include <asio.hpp>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "peer/connection.hpp"
#include "peer/dialler.hpp"
#include "protocol/codec.hpp"

namespace bronzehub::peer {

using asio::ip::tcp;

namespace {

// Without file descriptors, accepting fails at once; retrying without a delay
// would take a core.
constexpr std::chrono::milliseconds accept_retry_delay{100};
// Connections that have not authenticated yet, dialled ones included. More
// than the hosts of a full-sized fleet.
constexpr std::size_t max_opening = 1024;

}  // namespace

// State of the io_context's thread. Handlers hold weak references, so that
// none of them runs after the transport is gone.
class transport::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& context, transport_options options,
         transport_hooks hooks, base::clock time)
        : context_(context),
          acceptor_(context),
          accept_timer_(context),
          options_(std::move(options)),
          connection_options_(
              std::make_shared<const connection_options>(connection_options{
                  options_.host, options_.shared_key, options_.major_version,
                  options_.max_message_bytes, options_.handshake_timeout,
                  options_.unacknowledged_timeout})),
          hooks_(std::move(hooks)),
          time_(std::move(time)) {}

    absl::Status listen(const std::string& ip, std::uint16_t port);
    std::uint16_t port() const { return port_; }
    const counters& counts() const { return *counts_; }

    // Runs `step` on the io_context's thread, unless the transport is gone.
    template <class Step>
    void post(Step step) {
        asio::post(context_, [weak = weak_from_this(), step = std::move(step)] {
            const std::shared_ptr<impl> self = weak.lock();
            if (self && !self->stopped_) {
                step(*self);
            }
        });
    }

    void set_peer(const base::host_id& host, const std::string& address);
    void add_seed(const std::string& address);
    void remove_peer(const base::host_id& host);
    void send(std::span<const base::host_id> hosts,
              const protocol::message& message);
    void stop();

private:
    struct peer {
        std::string address;
        std::shared_ptr<send_queue> queue;
        std::vector<connection_ptr> connections;
        std::shared_ptr<dialler> dial;
    };

    peer& peer_of(const base::host_id& host);
    retry_delays delays() const {
        return {options_.first_retry_delay, options_.last_retry_delay};
    }
    connection_hooks hooks_for(const base::host_id& host,
                               const std::string& seed);
    void accept_next();
    void accept_later();
    void accepted(tcp::socket socket);
    void dial_if_needed(const base::host_id& host);
    void dial_seed(const std::string& address);
    void start_dial(const base::host_id& host, const std::string& seed,
                    const std::string& address);
    void dial_failed(const base::host_id& host, const std::string& seed);
    void on_ready(const connection_ptr& ready, const std::string& seed);
    void on_closed(const connection_ptr& closed, const base::host_id& host,
                   const std::string& seed, const absl::Status& reason);
    void choose_sender(const base::host_id& host);
    bool is_preferred(const connection_ptr& candidate) const;

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    std::uint16_t port_ = 0;
    const transport_options options_;
    const std::shared_ptr<const connection_options> connection_options_;
    const transport_hooks hooks_;
    const base::clock time_;
    const std::shared_ptr<counters> counts_ = std::make_shared<counters>();
    std::map<base::host_id, peer> peers_;
    // Addresses whose host is not known yet.
    std::map<std::string, std::shared_ptr<dialler>> seeds_;
    // Connections that are not authenticated yet.
    std::vector<connection_ptr> opening_;
    bool stopped_ = false;
};

absl::Status transport::impl::listen(const std::string& ip,
                                     std::uint16_t port) {
    asio::error_code error;
    const auto address = asio::ip::make_address(ip, error);
    if (error) {
        return absl::InvalidArgumentError(
            absl::StrCat("peer listener: \"", ip, "\" is not an IP address"));
    }
    const tcp::endpoint endpoint(address, port);
    if (acceptor_.open(endpoint.protocol(), error) ||
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error) ||
        acceptor_.bind(endpoint, error) ||
        acceptor_.listen(tcp::acceptor::max_listen_connections, error)) {
        return absl::UnavailableError(absl::StrCat(
            "peer listener: ", ip, ":", port, ": ", error.message()));
    }
    port_ = acceptor_.local_endpoint().port();
    accept_next();
    return absl::OkStatus();
}

void transport::impl::accept_next() {
    acceptor_.async_accept(
        [weak = weak_from_this()](const asio::error_code& error,
                                  tcp::socket socket) {
            const std::shared_ptr<impl> self = weak.lock();
            if (!self || self->stopped_) {
                return;
            }
            if (error) {
                self->accept_later();
                return;
            }
            self->accepted(std::move(socket));
            self->accept_next();
        });
}

void transport::impl::accept_later() {
    accept_timer_.expires_after(accept_retry_delay);
    accept_timer_.async_wait(
        [weak = weak_from_this()](const asio::error_code& error) {
            const std::shared_ptr<impl> self = weak.lock();
            if (!error && self && !self->stopped_) {
                self->accept_next();
            }
        });
}

void transport::impl::accepted(tcp::socket socket) {
    if (opening_.size() >= max_opening) {
        counts_->connect_failures.add();
        return;
    }
    const auto opened = std::make_shared<connection>(
        std::move(socket), side::acceptor, base::host_id(), connection_options_,
        hooks_for({}, {}), counts_);
    opening_.push_back(opened);
    opened->accept();
}

connection_hooks transport::impl::hooks_for(const base::host_id& host,
                                            const std::string& seed) {
    const auto guard = [weak = weak_from_this()](auto step) {
        return [weak, step = std::move(step)](auto&&... arguments) {
            const std::shared_ptr<impl> self = weak.lock();
            if (self && !self->stopped_) {
                step(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    };
    return {
        guard([seed](impl& self, const connection_ptr& ready) {
            self.on_ready(ready, seed);
        }),
        guard(
            [](impl& self, const connection_ptr&, protocol::message&& message) {
                self.hooks_.on_message(std::move(message));
            }),
        guard([](impl& self, const connection_ptr& retired) {
            self.choose_sender(retired->peer_host());
        }),
        guard([host, seed](impl& self, const connection_ptr& closed,
                           const absl::Status& reason) {
            self.on_closed(closed, host, seed, reason);
        }),
    };
}

transport::impl::peer& transport::impl::peer_of(const base::host_id& host) {
    peer& found = peers_[host];
    if (!found.queue) {
        found.queue =
            std::make_shared<send_queue>(options_.queue, time_, counts_);
        found.dial = std::make_shared<dialler>(context_, delays());
    }
    return found;
}

void transport::impl::set_peer(const base::host_id& host,
                               const std::string& address) {
    if (host != options_.host) {
        peer_of(host).address = address;
        dial_if_needed(host);
    }
}

void transport::impl::add_seed(const std::string& address) {
    if (seeds_.emplace(address, std::make_shared<dialler>(context_, delays()))
            .second) {
        dial_seed(address);
    }
}

void transport::impl::remove_peer(const base::host_id& host) {
    const auto found = peers_.find(host);
    if (found == peers_.end()) {
        return;
    }
    const std::vector<connection_ptr> connections = found->second.connections;
    peers_.erase(found);
    for (const connection_ptr& each : connections) {
        each->close(absl::CancelledError("peer connection: peer removed"));
    }
}

void transport::impl::send(std::span<const base::host_id> hosts,
                           const protocol::message& message) {
    const std::string encoded = protocol::encode(message);
    if (encoded.size() > options_.max_message_bytes) {
        counts_->dropped_oversized.add();
        return;
    }
    const outgoing_message outgoing{
        message.content.index(),
        std::make_shared<const std::string>(frame_message(encoded))};
    for (const base::host_id& host : hosts) {
        const auto found = peers_.find(host);
        if (host == options_.host) {
            hooks_.on_message(message);
        } else if (found == peers_.end()) {
            counts_->dropped_unknown_host.add();
        } else {
            found->second.queue->push(outgoing);
            for (const connection_ptr& each : found->second.connections) {
                each->flush();
            }
            dial_if_needed(host);
        }
    }
}

void transport::impl::dial_if_needed(const base::host_id& host) {
    const auto found = peers_.find(host);
    if (found == peers_.end()) {
        return;
    }
    peer& target = found->second;
    const bool connected =
        std::ranges::any_of(target.connections, &connection::usable);
    if (!connected && !target.queue->empty() && !target.address.empty() &&
        target.dial->begin()) {
        start_dial(host, {}, target.address);
    }
}

void transport::impl::dial_seed(const std::string& address) {
    const auto found = seeds_.find(address);
    if (found != seeds_.end() && found->second->begin()) {
        start_dial({}, address, address);
    }
}

void transport::impl::start_dial(const base::host_id& host,
                                 const std::string& seed,
                                 const std::string& address) {
    const auto endpoint = parse_address(address);
    if (!endpoint.ok()) {
        hooks_.on_connect_failed(host, address, endpoint.status());
        dial_failed(host, seed);
        return;
    }
    const auto dialled = std::make_shared<connection>(
        tcp::socket(context_), side::dialler, host, connection_options_,
        hooks_for(host, seed), counts_);
    opening_.push_back(dialled);
    dialled->dial(*endpoint);
}

void transport::impl::dial_failed(const base::host_id& host,
                                  const std::string& seed) {
    const auto again = [weak = weak_from_this(), host, seed] {
        const std::shared_ptr<impl> self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        if (host.empty()) {
            self->dial_seed(seed);
        } else {
            self->dial_if_needed(host);
        }
    };
    if (const auto found = peers_.find(host); found != peers_.end()) {
        found->second.dial->failed(again);
    } else if (const auto waiting = seeds_.find(seed);
               waiting != seeds_.end()) {
        waiting->second->failed(again);
    }
}

void transport::impl::on_ready(const connection_ptr& ready,
                               const std::string& seed) {
    std::erase(opening_, ready);
    counts_->connects.add();
    const base::host_id& host = ready->peer_host();
    const bool dialled = ready->role() == side::dialler;
    if (dialled && seed.empty() && !peers_.contains(host)) {
        ready->close(absl::CancelledError("peer connection: peer removed"));
        return;
    }
    peer& owner = peer_of(host);
    if (!seed.empty()) {
        seeds_.erase(seed);
        owner.address = seed;
    } else if (dialled) {
        owner.dial->succeeded();
    }
    // A host dials only when it has no connection, so an older connection in
    // the same direction belongs to an earlier start of the peer or has been
    // given up by it.
    const std::vector<connection_ptr> older = owner.connections;
    owner.connections.push_back(ready);
    for (const connection_ptr& each : older) {
        if (each->role() == ready->role() && each->usable()) {
            each->close(absl::CancelledError("peer connection: replaced"));
        }
    }
    choose_sender(host);
    if (older.empty()) {
        hooks_.on_connect(host);
    }
}

bool transport::impl::is_preferred(const connection_ptr& candidate) const {
    const bool dialled = candidate->role() == side::dialler;
    return dialled == (options_.host < candidate->peer_host());
}

// When both hosts dial at the same time, both use the connection that the
// host with the smaller name dialled, and the other host retires its own.
void transport::impl::choose_sender(const base::host_id& host) {
    const auto found = peers_.find(host);
    if (found == peers_.end()) {
        return;
    }
    std::vector<connection_ptr> usable;
    std::ranges::copy_if(found->second.connections, std::back_inserter(usable),
                         &connection::usable);
    if (usable.empty()) {
        dial_if_needed(host);
        return;
    }
    auto chosen = std::ranges::find_if(
        usable, [this](const auto& each) { return is_preferred(each); });
    chosen = chosen == usable.end() ? usable.begin() : chosen;
    for (const connection_ptr& each : usable) {
        if (each == *chosen) {
            each->attach(found->second.queue);
        } else if (each->role() == side::dialler) {
            each->retire();
        } else {
            each->attach(nullptr);
        }
    }
}

void transport::impl::on_closed(const connection_ptr& closed,
                                const base::host_id& host,
                                const std::string& seed,
                                const absl::Status& reason) {
    std::erase(opening_, closed);
    if (!closed->ready()) {
        counts_->connect_failures.add();
        hooks_.on_connect_failed(host.empty() ? closed->peer_host() : host,
                                 closed->remote_address(), reason);
        // Only the address of this host itself is refused with this status.
        if (!seed.empty() &&
            reason.code() == absl::StatusCode::kFailedPrecondition) {
            seeds_.erase(seed);
        }
        dial_failed(host, seed);
        return;
    }
    counts_->disconnects.add();
    const base::host_id& name = closed->peer_host();
    const auto found = peers_.find(name);
    if (found == peers_.end() ||
        std::erase(found->second.connections, closed) == 0) {
        return;
    }
    choose_sender(name);
    if (found->second.connections.empty()) {
        hooks_.on_disconnect(name, reason);
    }
}

void transport::impl::stop() {
    const auto close = [](const connection_ptr& each) {
        each->close(absl::CancelledError("peer connection: stopped"));
    };
    stopped_ = true;
    asio::error_code ignored;
    std::ignore = acceptor_.close(ignored);
    std::ranges::for_each(opening_, close);
    for (const auto& [host, each] : peers_) {
        std::ranges::for_each(each.connections, close);
    }
    opening_.clear();
    peers_.clear();
    seeds_.clear();
}

transport::transport(asio::io_context& context, transport_options options,
                     transport_hooks hooks, base::clock time)
    : impl_(std::make_shared<impl>(context, std::move(options),
                                   std::move(hooks), std::move(time))) {}

transport::~transport() {
    impl_->stop();
}

absl::Status transport::listen(const std::string& ip, std::uint16_t port) {
    return impl_->listen(ip, port);
}

std::uint16_t transport::port() const {
    return impl_->port();
}

void transport::set_peer(const base::host_id& host,
                         const std::string& address) {
    impl_->post([host, address](impl& self) { self.set_peer(host, address); });
}

void transport::add_seed(const std::string& address) {
    impl_->post([address](impl& self) { self.add_seed(address); });
}

void transport::remove_peer(const base::host_id& host) {
    impl_->post([host](impl& self) { self.remove_peer(host); });
}

void transport::send(const base::host_id& host,
                     const protocol::message& message) {
    send(std::span(&host, 1), message);
}

void transport::send(std::span<const base::host_id> hosts,
                     const protocol::message& message) {
    impl_->post([names = std::vector(hosts.begin(), hosts.end()),
                 message](impl& self) { self.send(names, message); });
}

void transport::stop() {
    impl_->post([](impl& self) { self.stop(); });
}

const counters& transport::counts() const {
    return impl_->counts();
}

}  // namespace bronzehub::peer
