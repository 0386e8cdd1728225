#include "transport/Containment.h"

#include "transport/Log.h"

#include <atomic>
#include <exception>
#include <new>

namespace lychee {

namespace {

constexpr LogChannel logChannel("runtime");

std::atomic<std::uint64_t> contained{0};

} // namespace

bool runContained(std::string_view doing, const std::function<void()>& body)
{
    try {
        body();
        return true;
    } catch (const std::bad_alloc&) {
        throw;
    } catch (const std::exception& exception) {
        contained.fetch_add(1);
        logChannel.error("exception contained: {} failed: {}", doing, exception.what());
        return false;
    }
}

std::uint64_t containedExceptions() { return contained.load(); }

} // namespace lychee
