#include "gypsumstep/proxy/proxy.h"

namespace gypsumstep::proxy {

void proxy::log_decision(importance level, const char* message, const std::string& request,
                         std::vector<std::pair<const char*, std::string>> inputs)
{
    emit(decision{level, message, request, std::move(inputs)});
}

std::string proxy::name_of(server_id id) const
{
    const auto server = m_servers.find(id);
    return server == m_servers.end() ? "gone/" + std::to_string(id.value())
                                     : server->second->entry.name;
}

} // namespace gypsumstep::proxy
