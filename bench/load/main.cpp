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
    if (settings->help)
    {
        std::cout << load::load_usage();
        return 0;
    }
    auto loaded = standins::load_bundle_file(settings->bundle_path);
    if (!loaded)
    {
        std::cerr << loaded.error() << '\n';
        return 2;
    }
    load::load_run run(*settings, *loaded);
    auto judged = run.run();
    auto report = run.report().to_json();
    report["judged"] = judged && settings->control.has_value();
    if (!settings->json_path.empty())
        std::ofstream(settings->json_path) << report.dump() << '\n';
    if (settings->json)
        std::cout << report.dump() << '\n';
    else
        std::cout << run.report().to_table();
    if (!judged)
    {
        std::cerr << "the control port did not answer; not judged\n";
        return 3;
    }
    return run.report().violations() == 0 && run.report().answered() > 0 ? 0
                                                                         : 1;
}
