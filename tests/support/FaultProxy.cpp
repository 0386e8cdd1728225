#include "tests/support/FaultProxy.h"

#include "tests/support/FreePort.h"

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

// Connections that fill the queue of a listening socket whose limit is 0, so that the kernel drops further attempts.
constexpr int fillers = 2;

bool acceptsAt(LinkFault fault) { return fault != LinkFault::Refuse && fault != LinkFault::Unanswered; }

} // namespace

// Everything runs on one thread.
class FaultProxy::State : public std::enable_shared_from_this<State> {
public:
    // The port lies outside the range of outgoing connections, so that it stays free while nothing listens on it.
    State()
        : address_(asio::ip::address_v4::loopback(), freePort())
        , acceptor_(context_, address_)
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

    std::uint16_t port() const { return address_.port(); }

    template <typename Task> void post(Task task) { asio::post(context_, std::move(task)); }

    void accept();
    void setFault(LinkFault fault);
    void listen();

    asio::io_context context_;
    const tcp::endpoint address_;
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> fillers_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
    Endpoint target_;
    LinkFault fault_ = LinkFault::None;
    bool closesWithoutTarget_ = false;
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
                return self->state_.closesWithoutTarget_ ? self->close() : self->reset();
            error_code ignored;
            self->near_.set_option(tcp::no_delay(true), ignored);
            self->far_.set_option(tcp::no_delay(true), ignored);
            self->pump(self->up_);
            self->pump(self->down_);
        });
    }

    // Ends both connections so that their peers see a regular end.
    void close()
    {
        const auto self = shared_from_this();
        for (tcp::socket* socket : {&near_, &far_}) {
            error_code ignored;
            socket->shutdown(tcp::socket::shutdown_both, ignored);
            socket->close(ignored);
        }
        state_.links_.erase(self);
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
        return silent_ || state_.fault_ == LinkFault::Silence || state_.fault_ == LinkFault::Unanswered
            || state_.fault_ == way.silence;
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
        else if (fault_ == LinkFault::Close)
            link->close();
        else
            link->start();
        accept();
    });
}

void FaultProxy::State::setFault(LinkFault fault)
{
    const bool listened = acceptsAt(fault_);
    fault_ = fault;
    for (const auto& link : std::set<std::shared_ptr<Link>>(links_)) {
        if (fault == LinkFault::Reset || link->hasDropped())
            link->reset();
        else if (fault == LinkFault::Close)
            link->close();
    }
    if (!listened || !acceptsAt(fault))
        listen();
}

// Opens the listening socket anew, or leaves it closed, as the fault requires.
void FaultProxy::State::listen()
{
    error_code ignored;
    acceptor_.close(ignored);
    fillers_.clear();
    if (fault_ == LinkFault::Refuse)
        return;
    acceptor_ = tcp::acceptor(context_);
    acceptor_.open(address_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address_);
    if (fault_ != LinkFault::Unanswered) {
        acceptor_.listen();
        return accept();
    }
    acceptor_.listen(0);
    for (int i = 0; i < fillers; ++i) {
        tcp::socket& filler = fillers_.emplace_back(context_);
        filler.open(address_.protocol());
        filler.non_blocking(true);
        filler.connect(address_, ignored);
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

void FaultProxy::closeWithoutTarget()
{
    state_->post([state = state_.get()] { state->closesWithoutTarget_ = true; });
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
