#include "backend_behaviour.h"

namespace turmericlane::standins
{

std::optional<std::string>
backend_behaviour::apply(const nlohmann::json& changes)
{
    for (const auto& [name, value] : changes.items())
    {
        if (name == "refuse" && value.is_boolean())
            refuse = value.get<bool>();
        else if (name == "draining" && value.is_boolean())
            draining = value.get<bool>();
        else if (name == "slow_factor" && value.is_number())
            slow_factor = value.get<double>();
        else if (name == "lose_replies" && value.is_number())
            lose_replies = value.get<double>();
        else if (name == "break_replies" && value.is_number())
            break_replies = value.get<double>();
        else if (name == "shed_share" && value.is_number())
            shed_share = value.get<double>();
        else if (name == "max_queue" && value.is_number_unsigned())
            max_queue = value.get<std::size_t>();
        else if (name == "load_lag_ms" && value.is_number_unsigned())
            load_lag = std::chrono::milliseconds(value.get<int>());
        else if (name == "load_lie" && value.is_null())
            load_lie.reset();
        else if (name == "load_lie" && value.is_number())
            load_lie = value.get<double>();
        else if (name == "cold_start_ms" && value.is_number_unsigned())
            cold_start = std::chrono::milliseconds(value.get<int>());
        else if (name == "cold_factor" && value.is_number())
            cold_factor = value.get<double>();
        else
            return name;
    }
    return std::nullopt;
}

} // namespace turmericlane::standins
