#include "fleet/CallerAuthorization.h"

namespace lychee::fleet {

Authorization authorize(
    const RouteTable& table, const Route& route, const CallerCredential& credential, bool isConfirmed)
{
    if (table.customers().empty() || route.acceptsAnonymous)
        return {AuthorizationOutcome::Anonymous, nullptr};
    // Goes before the search for the key: a key that is unknown here may belong to a newer configuration.
    if (!isConfirmed)
        return {AuthorizationOutcome::Unconfirmed, nullptr};
    const Customer* customer = credential.count == 1 ? table.customers().findByKey(credential.key) : nullptr;
    if (!customer)
        return {AuthorizationOutcome::Rejected, nullptr};
    return {AuthorizationOutcome::Customer, customer};
}

} // namespace lychee::fleet
