#include "gypsumstep/proxy/proxy.h"

namespace gypsumstep::proxy {

void proxy::log_decision(importance level, const char* message, const std::string& request,
                         std::vector<std::pair<const char*, std::string>> inputs)
{
    emit(decision{level, message, request, std::move(inputs)});
}

std::string proxy::name_of(server_id id) const
{
    const directory::server_record* const record = m_directory.find(id);
    return record == nullptr ? "gone/" + std::to_string(id.value()) : record->entry.name;
}

} // namespace gypsumstep::proxy
