#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>
#include <turmericlane_settings/turmericlane_settings.h>

#include <nlohmann/json_fwd.hpp>

namespace turmericlane
{

/** Returns the text of the bundle in a file. If the file holds an envelope,
    this is the text of the bundle inside; its signature is not checked. */
result<std::string, bundle_error> read_bundle_text(const std::string& path);

/** Returns the version, the sizes and the content hash of a bundle. */
nlohmann::json summarize_bundle(const bundle& content, const std::string& hash);

/** Prints an object as JSON, or as a table of its fields. */
void print_summary(const nlohmann::json& summary, bool as_json);

/** Prints an error in a bundle, with JSON also as an object.
    @returns exit_failed */
int report_bundle_error(const bundle_error& error, bool as_json);

/** Declares the flag `json`. */
flag_setting& add_json_flag(settings& flags);

} // namespace turmericlane
