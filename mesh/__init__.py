"""The mesh: two programs, ``proxy`` (data plane) and ``controller`` (control plane), and their concerns, one
package each. docs/design/map.md says which is which, and which function keeps which rule."""
