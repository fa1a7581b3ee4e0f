#include "load_run.h"

#include <standins/bundle_file.h>

#include <fstream>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace turmericlane;
    auto settings = load::parse_load_options(argc, argv);
    if (!settings)
        return 2;
    if (settings->is_help_requested)
    {
        std::cout << load::load_usage();
        return 0;
    }
    auto configuration = standins::load_bundle_file(settings->bundle_path);
    if (!configuration)
    {
        std::cerr << configuration.error() << '\n';
        return 2;
    }
    load::load_run run(*settings, *configuration);
    auto is_verified = run.run();
    auto report = run.report().to_json();
    report["judged"] = is_verified && settings->control.has_value();
    if (!settings->json_path.empty())
        std::ofstream(settings->json_path) << report.dump() << '\n';
    if (settings->print_as_json)
        std::cout << report.dump() << '\n';
    else
        std::cout << run.report().to_table();
    if (!is_verified)
    {
        std::cerr << "control port did not answer; requests that ran are not "
                     "verified\n";
        return 3;
    }
    return run.report().total_violations() == 0 &&
                   run.report().answered_count() > 0
               ? 0
               : 1;
}
