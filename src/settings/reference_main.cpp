// Prints the reference page of all settings, which is kept as
// docs/settings.md.
#include <iostream>

#include "settings/settings_table.hpp"

int main() {
    std::cout << bronzehub::settings::generate_reference_page();
    return 0;
}
