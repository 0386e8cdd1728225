// Asio completion token that suspends the calling fiber until the operation completes.
#pragma once

#include "transport/FiberEvent.h"

#include <boost/asio/async_result.hpp>
#include <boost/system/error_code.hpp>

#include <tuple>
#include <utility>

namespace lychee {

// Pass as the completion token of an asynchronous operation; the operation's error goes to `error`, its value, if
// it has one, is returned. The handler must run on the thread of the duty.
struct FiberToken {
    boost::system::error_code& error;
};

namespace internal {

template <typename... Values> struct FiberOperation {
    FiberEvent done;
    boost::system::error_code error;
    std::tuple<Values...> values;
};

template <typename... Values> struct FiberHandler {
    FiberOperation<Values...>* operation;

    void operator()(const boost::system::error_code& error, Values... values) const
    {
        operation->error = error;
        operation->values = std::tuple<Values...>(std::move(values)...);
        operation->done.notify();
    }
};

} // namespace internal
} // namespace lychee

namespace boost::asio {

template <typename... Values> class async_result<lychee::FiberToken, void(boost::system::error_code, Values...)> {
public:
    using handler_type = lychee::internal::FiberHandler<Values...>;
    using return_type
        = std::conditional_t<sizeof...(Values) == 0, void, std::tuple_element_t<0, std::tuple<Values..., int>>>;

    template <typename Initiation, typename... Arguments>
    static return_type initiate(Initiation initiation, lychee::FiberToken token, Arguments&&... arguments)
    {
        lychee::internal::FiberOperation<Values...> operation;
        std::move(initiation)(handler_type{&operation}, std::forward<Arguments>(arguments)...);
        operation.done.wait();
        token.error = operation.error;
        if constexpr (sizeof...(Values) > 0)
            return std::move(std::get<0>(operation.values));
    }
};

template <typename... Values>
class async_result<lychee::FiberToken, void(const boost::system::error_code&, Values...)>
    : public async_result<lychee::FiberToken, void(boost::system::error_code, Values...)> {
};

} // namespace boost::asio
