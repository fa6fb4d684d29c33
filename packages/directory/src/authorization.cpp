#include "gypsumstep/directory/authorization.h"

namespace gypsumstep::directory {

authorization authorize(const configuration& in_force, const route& used,
                        const std::optional<accounts::key_digest>& key, bool accounts_required)
{
    if (!in_force.accounts) {
        return {!accounts_required || used.is_public, {}};
    }
    const accounts::account* const owner = key ? in_force.accounts->find(*key) : nullptr;
    if (owner != nullptr) {
        return {true, owner->name};
    }
    return {used.is_public, {}};
}

} // namespace gypsumstep::directory
