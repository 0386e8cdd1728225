#include "fleet/Customer.h"

#include "protocol/Digest.h"

namespace lychee::fleet {

namespace {

std::string digestOf(std::string_view key)
{
    static const std::string secret = randomHex128();
    return hmacSha256Hex(secret, key);
}

} // namespace

double costOf(const CustomerLimit& limit, const std::optional<TokenCount>& declaredTokens)
{
    if (limit.unit == LimitUnit::Requests)
        return 1;
    return declaredTokens ? static_cast<double>(declaredTokens->value()) : limit.plainTokens;
}

CustomerDirectory::CustomerDirectory(std::vector<Customer> customers)
    : customers_(std::move(customers))
{
    for (std::size_t i = 0; i < customers_.size(); ++i) {
        // Only the digests stay, so that no log line can show a key.
        for (const std::string& key : std::exchange(customers_[i].keys, {}))
            byDigest_.emplace(digestOf(key), i);
    }
}

const Customer* CustomerDirectory::findByKey(std::string_view key) const
{
    if (key.empty() || key.size() > maxKeyBytes)
        return nullptr;
    const auto found = byDigest_.find(digestOf(key));
    return found == byDigest_.end() ? nullptr : &customers_[found->second];
}

} // namespace lychee::fleet
