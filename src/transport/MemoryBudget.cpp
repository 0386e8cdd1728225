#include "transport/MemoryBudget.h"

#include <sys/sysinfo.h>

#include <utility>

namespace lychee {

MemoryBudget::Share::Share(MemoryBudget& budget, std::function<void()> onRevoked)
    : budget_(budget)
    , onRevoked_(std::move(onRevoked))
{
    budget_.shares_.insert(this);
}

MemoryBudget::Share::~Share()
{
    budget_.used_ -= counted_;
    budget_.shares_.erase(this);
}

bool MemoryBudget::Share::resize(std::size_t bytes)
{
    if (isRevoked_)
        return false;
    budget_.used_ -= counted_;
    counted_ = bytes > budget_.freePart_ ? bytes - budget_.freePart_ : 0;
    budget_.used_ += counted_;
    while (budget_.used_ > budget_.capacity_ && counted_ > 0) {
        Share& victim = budget_.chooseVictim(*this);
        budget_.revoke(victim);
        if (&victim == this)
            return false;
        victim.onRevoked_();
    }
    return true;
}

void MemoryBudget::Share::deliverUntil(TimePoint time, std::function<void()> onRevoked)
{
    isKept_ = true;
    slowFrom_ = time;
    onRevoked_ = std::move(onRevoked);
}

MemoryBudget::Share& MemoryBudget::chooseVictim(Share& grown)
{
    Share* victim = &grown;
    bool victimIsSlow = false;
    for (Share* share : shares_) {
        const bool slow = isSlow(*share);
        if (share->counted_ == 0 || (share->isKept_ && !slow))
            continue;
        if ((slow && !victimIsSlow) || (slow == victimIsSlow && share->counted_ > victim->counted_)) {
            victim = share;
            victimIsSlow = slow;
        }
    }
    return *victim;
}

// The bytes count as returned at once, because the fiber of the message drops them as soon as it runs.
void MemoryBudget::revoke(Share& share)
{
    share.isRevoked_ = true;
    used_ -= std::exchange(share.counted_, 0);
}

std::unique_ptr<MemoryBudget::Share> MemoryBudget::open(std::function<void()> onRevoked)
{
    return std::unique_ptr<Share>(new Share(*this, std::move(onRevoked)));
}

std::size_t machineMemory()
{
    struct sysinfo info { };
    return sysinfo(&info) == 0 ? static_cast<std::size_t>(info.totalram) * info.mem_unit : 0;
}

} // namespace lychee
