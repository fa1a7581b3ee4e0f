#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>
#include <turmericlane_settings/turmericlane_settings.h>

#include <nlohmann/json_fwd.hpp>

namespace turmericlane
{

/** Text of the bundle in a file; of an envelope, the bundle inside. */
result<std::string, bundle_error> read_bundle_text(const std::string& path);

/** Version, sizes and content hash of a bundle. */
nlohmann::json summarise(const bundle& of, const std::string& hash);

/** Prints an object as JSON, or as a table of its fields. */
void print_summary(const nlohmann::json& summary, bool as_json);

/** Prints an error.
    @returns exit_failed */
int report(const bundle_error& error, bool as_json);

/** Declares the flag `json`. */
flag_setting& add_json(settings& to);

} // namespace turmericlane
