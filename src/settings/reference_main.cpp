// Prints the reference page of the settings, docs/settings.md.
#include <iostream>

#include "settings/settings_table.hpp"

int main() {
    std::cout << bronzehub::settings::settings_reference();
    return 0;
}
