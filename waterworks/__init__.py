"""The mesh: two programs, ``sluice`` (data plane) and ``reservoir`` (control plane), and their concerns, one
package each. docs/design/map.md says which is which, and which function keeps which rule."""
