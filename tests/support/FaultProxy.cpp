#include "tests/support/FaultProxy.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <thread>

namespace lychee::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Longer than the pauses between events of a stream, shorter than what the daemon takes for silence.
constexpr std::chrono::milliseconds heldBack{250};
constexpr std::size_t bufferBytes = 16384;

} // namespace

// Everything runs on one thread.
class FaultProxy::State : public std::enable_shared_from_this<State> {
public:
    State()
        : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , work_(asio::make_work_guard(context_))
    {
    }

    void run()
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    void stop()
    {
        context_.stop();
        thread_.join();
        links_.clear();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    template <typename Task> void post(Task task) { asio::post(context_, std::move(task)); }

    void accept();
    void setFault(LinkFault fault);

    asio::io_context context_;
    tcp::acceptor acceptor_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
    Endpoint target_;
    LinkFault fault_ = LinkFault::None;
    std::set<std::shared_ptr<Link>> links_;
};

// One connection from each side.
class FaultProxy::Link : public std::enable_shared_from_this<Link> {
public:
    Link(State& state, tcp::socket near)
        : state_(state)
        , near_(std::move(near))
        , far_(state.context_)
    {
    }

    void start()
    {
        const tcp::endpoint target(asio::ip::make_address(state_.target_.address), state_.target_.port);
        far_.async_connect(target, [self = shared_from_this()](const error_code& error) {
            if (error)
                return self->reset();
            error_code ignored;
            self->near_.set_option(tcp::no_delay(true), ignored);
            self->far_.set_option(tcp::no_delay(true), ignored);
            self->pump(self->up_);
            self->pump(self->down_);
        });
    }

    // Ends both connections so that their peers see a reset.
    void reset()
    {
        const auto self = shared_from_this();
        for (tcp::socket* socket : {&near_, &far_}) {
            error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        state_.links_.erase(self);
    }

    bool hasDropped() const { return dropped_; }

    void silenceForGood() { silent_ = true; }

private:
    struct Way {
        tcp::socket& from;
        tcp::socket& to;
        LinkFault silence;
        std::array<char, bufferBytes> bytes{};
    };

    void pump(Way& way)
    {
        way.from.async_read_some(
            asio::buffer(way.bytes), [self = shared_from_this(), &way](const error_code& error, std::size_t size) {
                if (error == asio::error::eof)
                    return self->passEnd(way);
                if (error)
                    return self->reset();
                self->take(way, size);
            });
    }

    bool isSilenced(const Way& way) const
    {
        return silent_ || state_.fault_ == LinkFault::Silence || state_.fault_ == way.silence;
    }

    void take(Way& way, std::size_t size)
    {
        if (isSilenced(way)) {
            dropped_ = true;
            return pump(way);
        }
        if (state_.fault_ != LinkFault::Delay)
            return pass(way, size);
        const auto timer = std::make_shared<asio::steady_timer>(state_.context_, heldBack);
        timer->async_wait([self = shared_from_this(), &way, size, timer](const error_code&) { self->pass(way, size); });
    }

    void pass(Way& way, std::size_t size)
    {
        asio::async_write(way.to, asio::buffer(way.bytes.data(), size),
            [self = shared_from_this(), &way](const error_code& error, std::size_t) {
                if (error)
                    return self->reset();
                self->pump(way);
            });
    }

    // One side has sent everything; the other way stays open until it ends too.
    void passEnd(Way& way)
    {
        if (isSilenced(way)) {
            dropped_ = true;
            return;
        }
        error_code ignored;
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
        if (++ended_ == 2)
            state_.links_.erase(shared_from_this());
    }

    State& state_;
    tcp::socket near_;
    tcp::socket far_;
    Way up_{near_, far_, LinkFault::SilenceUp};
    Way down_{far_, near_, LinkFault::SilenceDown};
    bool dropped_ = false;
    bool silent_ = false;
    int ended_ = 0;
};

void FaultProxy::State::accept()
{
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error)
            return;
        const auto link = std::make_shared<Link>(*this, std::move(socket));
        links_.insert(link);
        if (fault_ == LinkFault::Reset || target_.port == 0)
            link->reset();
        else
            link->start();
        accept();
    });
}

void FaultProxy::State::setFault(LinkFault fault)
{
    fault_ = fault;
    for (const auto& link : std::set<std::shared_ptr<Link>>(links_)) {
        if (fault == LinkFault::Reset || link->hasDropped())
            link->reset();
    }
}

FaultProxy::FaultProxy()
    : state_(std::make_shared<State>())
{
    state_->run();
}

FaultProxy::~FaultProxy() { state_->stop(); }

Endpoint FaultProxy::endpoint() const { return {"127.0.0.1", state_->port()}; }

void FaultProxy::setTarget(const Endpoint& target)
{
    state_->post([state = state_.get(), target] { state->target_ = target; });
}

void FaultProxy::silenceOpenConnections()
{
    state_->post([state = state_.get()] {
        for (const auto& link : state->links_)
            link->silenceForGood();
    });
}

void FaultProxy::setFault(LinkFault fault)
{
    state_->post([state = state_.get(), fault] { state->setFault(fault); });
}

} // namespace lychee::test
